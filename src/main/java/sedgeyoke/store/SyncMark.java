package sedgeyoke.store;

/**
 * States how many records of a segment an fsync has made durable.
 *
 * @param number 1 for the first mark of the segment, 2 for the next
 * @param firstIndex index of the segment's first record
 * @param recordCount number of durable records
 * @param endOffset byte offset of the end of the last durable record
 * @param recordsChecksum checksum over the checksums of the durable records
 */
record SyncMark(int number, long firstIndex, int recordCount, int endOffset, int recordsChecksum) {
    /** Index of the record after the last durable one. */
    long nextIndex() {
        return firstIndex + recordCount;
    }
}
