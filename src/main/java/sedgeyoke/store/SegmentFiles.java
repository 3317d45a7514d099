package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;

/** Creates, reads, writes and deletes the two files of each segment: the records file and the sync marks file. */
final class SegmentFiles {
    private static final String RECORDS_PREFIX = "log-";
    private static final String MARKS_PREFIX = "mark-";
    private static final String GENERATION_PATTERN = "[0-9a-f]{16}";
    private static final int MAX_ARRAY_LENGTH = Integer.MAX_VALUE - 8;
    private static final int HEX_RADIX = 16;

    private final Disk disk;
    private final SegmentFormat format;

    SegmentFiles(Disk disk, SegmentFormat format) {
        this.disk = disk;
        this.format = format;
    }

    /** Returns the name of a segment's records file. */
    static String recordsFile(long generation) {
        return fileName(RECORDS_PREFIX, generation);
    }

    /** Returns the name of a segment's sync marks file. */
    static String marksFile(long generation) {
        return fileName(MARKS_PREFIX, generation);
    }

    private static String fileName(String prefix, long generation) {
        return prefix + String.format(Locale.ROOT, "%016x", generation);
    }

    /** Returns the generations of all segments that have a records file, in ascending order. */
    List<Long> generations() throws DiskException {
        return disk.fileNames().stream()
                .filter(name -> name.matches(RECORDS_PREFIX + GENERATION_PATTERN))
                .map(name -> Long.parseUnsignedLong(name.substring(RECORDS_PREFIX.length()), HEX_RADIX))
                .sorted()
                .toList();
    }

    /** Reads the records file of a segment. */
    ByteBuffer readRecords(long generation) throws DiskException {
        String file = recordsFile(generation);
        return ByteBuffer.wrap(disk.read(file, 0, (int) Math.min(MAX_ARRAY_LENGTH, disk.length(file))));
    }

    /** Whether the sync marks file of a segment exists. */
    boolean hasMarks(long generation) throws DiskException {
        return disk.length(marksFile(generation)) >= 0;
    }

    /** Reads the sync marks file of a segment; empty if it does not exist. */
    ByteBuffer readMarks(long generation) throws DiskException {
        String file = marksFile(generation);
        long length = disk.length(file);
        return ByteBuffer.wrap(length <= 0 ? new byte[0] : disk.read(file, 0, (int) length));
    }

    /** Creates both files of a segment and makes them durable. */
    Segment create(long generation, long firstIndex, int fileBytes) throws DiskException {
        String records = recordsFile(generation);
        String marks = marksFile(generation);
        disk.allocate(records, fileBytes);
        disk.allocate(marks, 0);
        disk.write(records, 0, format.encodeHeader(generation, firstIndex));
        disk.fsync(records);
        disk.fsync(marks);
        disk.fsyncDirectory();
        return new Segment(generation, firstIndex, fileBytes);
    }

    /** Writes the next record of a segment. It is not durable before {@link #sync}. */
    void append(Segment segment, LogRecord logRecord) throws DiskException {
        int checksum = format.recordChecksum(segment, logRecord.payload());
        disk.write(recordsFile(segment.generation), segment.endOffset(), format.encodeRecord(logRecord, checksum));
        segment.add(logRecord.payload(), checksum);
    }

    /** Makes the records of a segment durable, then writes a durable sync mark that covers them. */
    void sync(Segment segment) throws DiskException {
        disk.fsync(recordsFile(segment.generation));
        SyncMark mark = segment.nextSyncMark();
        String marks = marksFile(segment.generation);
        long offset = (long) (mark.number() - 1) * SegmentFormat.MARK_BYTES;
        disk.write(marks, offset, format.encodeMark(mark, segment.generation));
        disk.fsync(marks);
    }

    /** Deletes both files of a segment. This is not durable before {@link #syncDeletions}. */
    void delete(long generation) throws DiskException {
        disk.delete(recordsFile(generation));
        disk.delete(marksFile(generation));
    }

    /** Makes deletions durable. */
    void syncDeletions() throws DiskException {
        disk.fsyncDirectory();
    }
}
