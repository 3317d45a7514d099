package sedgeyoke.store;

/**
 * A part of a folder that was promised and cannot be believed.
 *
 * @param file its name
 * @param offset where in it, in bytes; 0 for all of it
 * @param from the first record that may be lost, or -1 if none is
 * @param what what is wrong, for people
 */
public record Corruption(String file, long offset, long from, String what) {
    @Override
    public String toString() {
        return file + " at byte " + offset + ": " + what + (from < 0 ? "" : ", records from " + from + " on");
    }
}
