package sedgeyoke.settings;

/**
 * One problem in an operator's file.
 *
 * @param file the path as it was given
 * @param line the line of the problem, counted from 1; 0 if it concerns the whole file
 * @param key the key in dotted form; empty if the problem concerns no key
 * @param message what is invalid and what would be valid
 */
public record ConfigProblem(String file, int line, String key, String message) {

    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
