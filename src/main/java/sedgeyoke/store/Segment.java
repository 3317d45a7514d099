package sedgeyoke.store;

import java.util.ArrayList;
import java.util.List;

/** The valid records of one segment file, and the position of the next record. */
final class Segment {
    final long generation;
    final long firstIndex;
    /** Length of the file in bytes. */
    final int fileBytes;

    private final List<LogRecord> records = new ArrayList<>();
    private int endOffset = SegmentFormat.HEADER_BYTES;
    private int recordsChecksum;
    private int syncMarkCount;
    private boolean appendable = true;

    Segment(long generation, long firstIndex, int fileBytes) {
        this.generation = generation;
        this.firstIndex = firstIndex;
        this.fileBytes = fileBytes;
    }

    List<LogRecord> records() {
        return records;
    }

    /** Byte offset of the end of the last valid record. */
    int endOffset() {
        return endOffset;
    }

    /** Checksum over the checksums of all records that were added, including dropped ones. */
    int recordsChecksum() {
        return recordsChecksum;
    }

    /** Index of the next record to be added. */
    long nextIndex() {
        return firstIndex + records.size();
    }

    /** Whether a record of {@code bytes} bytes, including its header, may be appended. */
    boolean hasSpaceFor(int bytes) {
        return appendable && endOffset + bytes <= fileBytes;
    }

    /** Prevents further appends, because unknown bytes follow the last valid record. */
    void disableAppends() {
        appendable = false;
    }

    /** Sets the number of sync marks that the mark file already holds. */
    void setSyncMarkCount(int count) {
        syncMarkCount = count;
    }

    /** Returns the next sync mark, which covers all records of the segment. */
    SyncMark nextSyncMark() {
        syncMarkCount++;
        return new SyncMark(syncMarkCount, firstIndex, records.size(), endOffset, recordsChecksum);
    }

    /** Adds the next record. */
    void add(byte[] payload, int checksum) {
        records.add(new LogRecord(nextIndex(), payload));
        endOffset += SegmentFormat.RECORD_HEADER_BYTES + payload.length;
        recordsChecksum = new Checksum().with(recordsChecksum, checksum).value();
    }

    /**
     * Drops the records from {@code index} on, in memory only: in the files, those of a later segment override them.
     */
    void dropFrom(long index) {
        if (nextIndex() > index) {
            records.subList((int) Math.max(0, index - firstIndex), records.size())
                    .clear();
        }
    }
}
