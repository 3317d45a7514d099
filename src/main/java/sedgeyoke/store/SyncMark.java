package sedgeyoke.store;

/**
 * States how much of a segment was durable after an fsync.
 *
 * @param number 1 for the first mark of the segment, 2 for the next
 * @param firstIndex index of the segment's first record
 * @param recordCount number of durable records
 * @param endOffset byte offset behind the last durable record
 * @param recordsChecksum checksum over the checksums of the durable records
 */
record SyncMark(int number, long firstIndex, int recordCount, int endOffset, int recordsChecksum) {
    /** Index of the record behind the last durable one. */
    long nextIndex() {
        return firstIndex + recordCount;
    }
}
