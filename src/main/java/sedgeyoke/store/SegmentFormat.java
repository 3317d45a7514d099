package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Encodes and verifies the headers, records and sync marks of segment files. All numbers are big-endian. Every checksum
 * covers the identity of the directory, the generation of the segment and the position of the block. A block from
 * another directory, from an earlier use of the disk space or at a wrong position is therefore invalid.
 */
final class SegmentFormat {
    /** Size of the header of a segment file in bytes; its last eight bytes are unused. */
    static final int HEADER_BYTES = 32;
    /** Size of the header of a record in bytes. */
    static final int RECORD_HEADER_BYTES = 16;
    /**
     * Size of a sync mark in bytes. It divides the sector size, so that a mark is written either entirely or not at
     * all.
     */
    static final int MARK_BYTES = 32;

    private static final int MAGIC = 0x53594c31;

    private static final int HEADER_MAGIC = 0;
    private static final int HEADER_CHECKSUM = 4;
    private static final int HEADER_GENERATION = 8;
    private static final int HEADER_FIRST_INDEX = 16;

    private static final int RECORD_LENGTH = 0;
    private static final int RECORD_CHECKSUM = 4;
    private static final int RECORD_INDEX = 8;

    private static final int MARK_CHECKSUM = 0;
    private static final int MARK_RECORDS_CHECKSUM = 4;
    private static final int MARK_FIRST_INDEX = 8;
    private static final int MARK_RECORD_COUNT = 16;
    private static final int MARK_END_OFFSET = 20;
    private static final int MARK_NUMBER = 28;

    private final long directoryIdentity;

    SegmentFormat(long directoryIdentity) {
        this.directoryIdentity = directoryIdentity;
    }

    // ---- Segment header ------------------------------------------------------------------------------

    byte[] encodeHeader(long generation, long firstIndex) {
        return ByteBuffer.allocate(HEADER_BYTES)
                .putInt(HEADER_MAGIC, MAGIC)
                .putInt(HEADER_CHECKSUM, headerChecksum(generation, firstIndex))
                .putLong(HEADER_GENERATION, generation)
                .putLong(HEADER_FIRST_INDEX, firstIndex)
                .array();
    }

    /** Returns the segment that a file's header describes, without its records; empty if the header is invalid. */
    Optional<Segment> decodeHeader(ByteBuffer file, long generation) {
        if (file.capacity() < HEADER_BYTES) {
            return Optional.empty();
        }
        long firstIndex = file.getLong(HEADER_FIRST_INDEX);
        boolean valid = file.getInt(HEADER_MAGIC) == MAGIC
                && file.getLong(HEADER_GENERATION) == generation
                && file.getInt(HEADER_CHECKSUM) == headerChecksum(generation, firstIndex);
        return valid ? Optional.of(new Segment(generation, firstIndex, file.capacity())) : Optional.empty();
    }

    private int headerChecksum(long generation, long firstIndex) {
        return new Checksum()
                .with(MAGIC, directoryIdentity, generation, firstIndex)
                .value();
    }

    // ---- Records -------------------------------------------------------------------------------------

    /** Computes the checksum that a payload has as the next record of a segment. */
    int recordChecksum(Segment segment, byte[] payload) {
        return new Checksum()
                .with(directoryIdentity, segment.generation, segment.endOffset(), segment.nextIndex(), payload.length)
                .with(payload)
                .value();
    }

    byte[] encodeRecord(LogRecord logRecord, int checksum) {
        byte[] payload = logRecord.payload();
        return ByteBuffer.allocate(RECORD_HEADER_BYTES + payload.length)
                .putInt(payload.length)
                .putInt(checksum)
                .putLong(logRecord.index())
                .put(payload)
                .array();
    }

    /** Adds the next record in a file to the segment; returns false if no valid record follows. */
    boolean readNextRecord(ByteBuffer file, Segment segment) {
        int offset = segment.endOffset();
        int available = file.capacity() - offset - RECORD_HEADER_BYTES;
        if (available < 0) {
            return false;
        }
        int length = file.getInt(offset + RECORD_LENGTH);
        if (length < 0 || length > available || file.getLong(offset + RECORD_INDEX) != segment.nextIndex()) {
            return false;
        }
        byte[] payload = new byte[length];
        file.get(offset + RECORD_HEADER_BYTES, payload);
        int checksum = recordChecksum(segment, payload);
        if (file.getInt(offset + RECORD_CHECKSUM) != checksum) {
            return false;
        }
        segment.add(payload, checksum);
        return true;
    }

    // ---- Sync marks ----------------------------------------------------------------------------------

    byte[] encodeMark(SyncMark mark, long generation) {
        return ByteBuffer.allocate(MARK_BYTES)
                .putInt(MARK_CHECKSUM, markChecksum(mark, generation))
                .putInt(MARK_RECORDS_CHECKSUM, mark.recordsChecksum())
                .putLong(MARK_FIRST_INDEX, mark.firstIndex())
                .putInt(MARK_RECORD_COUNT, mark.recordCount())
                .putInt(MARK_END_OFFSET, mark.endOffset())
                .putInt(MARK_NUMBER, mark.number())
                .array();
    }

    /**
     * Reads the mark at an offset of a sync marks file; empty if it is invalid or was written for another position.
     */
    Optional<SyncMark> decodeMark(ByteBuffer file, int offset, long generation) {
        SyncMark mark = new SyncMark(
                file.getInt(offset + MARK_NUMBER),
                file.getLong(offset + MARK_FIRST_INDEX),
                file.getInt(offset + MARK_RECORD_COUNT),
                file.getInt(offset + MARK_END_OFFSET),
                file.getInt(offset + MARK_RECORDS_CHECKSUM));
        boolean valid = mark.number() == offset / MARK_BYTES + 1
                && file.getInt(offset + MARK_CHECKSUM) == markChecksum(mark, generation);
        return valid ? Optional.of(mark) : Optional.empty();
    }

    private int markChecksum(SyncMark mark, long generation) {
        return new Checksum()
                .with(
                        directoryIdentity,
                        generation,
                        mark.recordsChecksum(),
                        mark.firstIndex(),
                        mark.recordCount(),
                        mark.endOffset(),
                        mark.number())
                .value();
    }

    /** Whether a range of a file contains only zeros, like space that was never written. */
    static boolean isZero(ByteBuffer file, int from, int to) {
        for (int offset = from; offset < to; offset++) {
            if (file.get(offset) != 0) {
                return false;
            }
        }
        return true;
    }
}
