package sedgeyoke.store;

/**
 * Durable data of a directory that is missing or fails its checksum.
 *
 * @param file name of the file
 * @param offset byte offset of the bad part in the file; 0 where all of the file is meant
 * @param firstLostRecord index of the first record that may be lost, or {@link #NO_RECORD}
 * @param description what is wrong, for operators
 */
public record Corruption(String file, long offset, long firstLostRecord, String description) {
    /** Value of {@link #firstLostRecord} where no record of a log is lost. */
    public static final long NO_RECORD = -1;

    @Override
    public String toString() {
        return file + " at byte " + offset + ": " + description
                + (firstLostRecord < 0 ? "" : ", records from " + firstLostRecord + " on");
    }
}
