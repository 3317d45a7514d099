package sedgeyoke.settings;

/**
 * One problem of an operator's file.
 *
 * @param file the path as it was given
 * @param line the line in it, counted from 1; 0 where the file as a whole is meant
 * @param key the key in dotted form, or empty if no key is meant
 * @param message what is wrong and what would be right
 */
public record ConfigProblem(String file, int line, String key, String message) {

    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line : "") + ": " + (key.isEmpty() ? "" : key + ": ") + message;
    }
}
