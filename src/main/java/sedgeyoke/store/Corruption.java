package sedgeyoke.store;

/**
 * Durable data of a directory that is missing or fails its checksum.
 *
 * @param kind what is missing or invalid
 * @param file name of the file
 * @param offset byte offset of the invalid part in the file; 0 if the whole file is affected
 * @param firstLostRecord index of the first record that may be lost, or {@link #NO_RECORD}
 * @param description details, for operators
 */
public record Corruption(Kind kind, String file, long offset, long firstLostRecord, String description) {
    /** Value of {@link #firstLostRecord} if no record of a log is lost. */
    public static final long NO_RECORD = -1;

    /** Kinds of corruption. */
    public enum Kind {
        /** A segment of the log, or its header, is missing or invalid. */
        MISSING_SEGMENT,
        /** Records that were durable are missing, invalid or stale. */
        MISSING_RECORDS,
        /**
         * The sync marks of a segment are missing or invalid, so it is unknown how many of its records were durable.
         */
        INVALID_SYNC_MARKS,
        /** A snapshot is invalid. */
        INVALID_SNAPSHOT,
        /** No copy of a dual-copy file is valid. */
        INVALID_COPIES
    }

    @Override
    public String toString() {
        return file + " at byte " + offset + ": " + description
                + (firstLostRecord < 0 ? "" : ", records from " + firstLostRecord + " on");
    }
}
