package sedgeyoke.store;

import java.util.ArrayList;
import java.util.List;

/** The valid records of one segment file, and where the next record is to be written. */
final class Segment {
    final long generation;
    final long firstIndex;
    /** Length of the file in bytes. */
    final int fileBytes;

    private final List<LogRecord> records = new ArrayList<>();
    private int endOffset = SegmentFormat.HEADER_BYTES;
    private int recordsChecksum;
    private int syncMarks;
    private boolean appendable = true;

    Segment(long generation, long firstIndex, int fileBytes) {
        this.generation = generation;
        this.firstIndex = firstIndex;
        this.fileBytes = fileBytes;
    }

    List<LogRecord> records() {
        return records;
    }

    /** Byte offset behind the last valid record. */
    int endOffset() {
        return endOffset;
    }

    /** Checksum over the checksums of all records that were ever added. */
    int recordsChecksum() {
        return recordsChecksum;
    }

    /** Index of the record that follows the last one. */
    long nextIndex() {
        return firstIndex + records.size();
    }

    /** Whether a record of so many bytes may be appended. */
    boolean hasSpaceFor(int bytes) {
        return appendable && endOffset + bytes <= fileBytes;
    }

    /** Excludes further appends, because bytes of unknown origin follow the last valid record. */
    void close() {
        appendable = false;
    }

    /** Takes over the number of sync marks that the mark file holds. */
    void syncMarks(int count) {
        syncMarks = count;
    }

    /** Returns the next sync mark, which covers all records. */
    SyncMark nextSyncMark() {
        syncMarks++;
        return new SyncMark(syncMarks, firstIndex, records.size(), endOffset, recordsChecksum);
    }

    /** Adds the record that follows the last one. */
    void add(byte[] payload, int checksum) {
        records.add(new LogRecord(nextIndex(), payload));
        endOffset += SegmentFormat.RECORD_HEADER_BYTES + payload.length;
        recordsChecksum = new Checksum().with(recordsChecksum, checksum).value();
    }

    /** Drops the records from an index on. The file does not change: a later segment overrides its tail. */
    void dropFrom(long index) {
        if (nextIndex() > index) {
            records.subList((int) Math.max(0, index - firstIndex), records.size())
                    .clear();
        }
    }
}
