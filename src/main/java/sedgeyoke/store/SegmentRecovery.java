package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Scans the segments of a directory when a log is opened. Records up to the last valid sync mark were durable: if one
 * of them is missing, that is a {@link Corruption}. Valid records after the mark are kept, because a later mark may
 * have been lost; an invalid one there is a torn write that was never durable. Segments after a corruption are not
 * read.
 */
final class SegmentRecovery {
    private final SegmentFiles files;
    private final SegmentFormat format;
    private final TreeMap<Long, Segment> segments = new TreeMap<>();
    private final List<Corruption> corruptions = new ArrayList<>();
    private final List<Long> unreadGenerations = new ArrayList<>();
    private boolean unsyncedRecords;

    /**
     * Result of a scan.
     *
     * @param segments the readable segments by generation
     * @param corruptions durable data that is missing or invalid
     * @param unreadGenerations generations of the segments whose records are not used
     * @param unsyncedRecords whether the last segment has valid records after its last sync mark
     */
    record Result(
            TreeMap<Long, Segment> segments,
            List<Corruption> corruptions,
            List<Long> unreadGenerations,
            boolean unsyncedRecords) {}

    private SegmentRecovery(SegmentFiles files, SegmentFormat format) {
        this.files = files;
        this.format = format;
    }

    /**
     * Scans a directory and deletes segments whose creation was interrupted.
     *
     * @param highestGeneration the highest generation whose creation was completed, 0 if none was
     */
    static Result scan(SegmentFiles files, SegmentFormat format, long highestGeneration) throws DiskException {
        SegmentRecovery recovery = new SegmentRecovery(files, format);
        recovery.readAll(highestGeneration);
        return new Result(
                recovery.segments, recovery.corruptions, recovery.unreadGenerations, recovery.unsyncedRecords);
    }

    private void readAll(long highestGeneration) throws DiskException {
        List<Long> generations = new ArrayList<>();
        for (long generation : files.generations()) {
            if (generation > highestGeneration) { // the process ended before the segment held any record
                files.delete(generation);
            } else {
                generations.add(generation);
            }
        }
        long newest = generations.isEmpty() ? 0 : generations.get(generations.size() - 1);
        if (newest != highestGeneration) {
            String missing = SegmentFiles.recordsFile(highestGeneration);
            corruptions.add(new Corruption(Corruption.Kind.MISSING_SEGMENT, missing, 0, 0, "the last segment is gone"));
        }
        long expected = generations.isEmpty() ? 1 : generations.get(0);
        for (long generation : generations) {
            if (generation != expected) {
                corruptions.add(new Corruption(
                        Corruption.Kind.MISSING_SEGMENT,
                        SegmentFiles.recordsFile(expected),
                        0,
                        0,
                        "segments are missing before " + SegmentFiles.recordsFile(generation)));
            }
            expected = generation + 1;
            if (corruptions.isEmpty()) {
                readSegment(generation);
            } else {
                unreadGenerations.add(generation);
            }
        }
    }

    private void readSegment(long generation) throws DiskException {
        String name = SegmentFiles.recordsFile(generation);
        ByteBuffer file = files.readRecords(generation);
        Optional<SyncMark> mark = lastMark(generation);
        Optional<Segment> header = format.decodeHeader(file, generation);
        if (header.isEmpty()) {
            long firstLost = mark.map(SyncMark::firstIndex).orElse(0L);
            corruptions.add(new Corruption(
                    Corruption.Kind.MISSING_SEGMENT, name, 0, firstLost, "no valid segment header of this directory"));
            unreadGenerations.add(generation);
            return;
        }
        Segment segment = header.get();
        readDurableRecords(file, segment, mark);
        if (corruptions.isEmpty()) {
            readUnmarkedRecords(file, segment);
        }
        if (!SegmentFormat.isZero(file, segment.endOffset(), file.capacity())) {
            segment.disableAppends();
        }
        if (!segments.isEmpty() && segment.firstIndex > nextIndex()) {
            corruptions.add(new Corruption(
                    Corruption.Kind.MISSING_RECORDS,
                    name,
                    0,
                    nextIndex(),
                    "begins with record " + segment.firstIndex + ", the one before ends with " + (nextIndex() - 1)));
            unreadGenerations.add(generation);
            return;
        }
        segments.values().forEach(earlier -> earlier.dropFrom(segment.firstIndex));
        segments.put(generation, segment);
    }

    private long nextIndex() {
        return segments.lastEntry().getValue().nextIndex();
    }

    private void readDurableRecords(ByteBuffer file, Segment segment, Optional<SyncMark> lastMark) {
        if (lastMark.isEmpty()) {
            return;
        }
        SyncMark mark = lastMark.get();
        segment.setSyncMarkCount(mark.number());
        boolean valid = true;
        while (valid && segment.endOffset() < mark.endOffset()) {
            valid = format.readNextRecord(file, segment);
        }
        boolean complete = segment.endOffset() == mark.endOffset()
                && segment.recordsChecksum() == mark.recordsChecksum()
                && segment.records().size() == mark.recordCount();
        if (complete) {
            return;
        }
        // If all records are valid but differ from those that the mark covers, an unknown one of them is stale.
        boolean prefixIsValid =
                segment.endOffset() < mark.endOffset() && !segment.records().isEmpty();
        if (!prefixIsValid) {
            segment.dropFrom(segment.firstIndex);
        }
        corruptions.add(new Corruption(
                Corruption.Kind.MISSING_RECORDS,
                SegmentFiles.recordsFile(segment.generation),
                prefixIsValid ? segment.endOffset() : SegmentFormat.HEADER_BYTES,
                segment.nextIndex(),
                "durable records are missing"));
    }

    private void readUnmarkedRecords(ByteBuffer file, Segment segment) {
        int markedEnd = segment.endOffset();
        boolean valid = true;
        while (valid) {
            valid = format.readNextRecord(file, segment);
        }
        unsyncedRecords = segment.endOffset() > markedEnd;
    }

    /**
     * Returns the last valid mark. An invalid one after it is a corruption, because the records it covered may be lost.
     */
    private Optional<SyncMark> lastMark(long generation) throws DiskException {
        ByteBuffer file = files.readMarks(generation);
        Optional<SyncMark> last = Optional.empty();
        boolean invalidBehindLast = false;
        int lastOffset = file.capacity() - SegmentFormat.MARK_BYTES;
        for (int offset = 0; offset <= lastOffset; offset += SegmentFormat.MARK_BYTES) {
            Optional<SyncMark> mark = format.decodeMark(file, offset, generation);
            if (mark.isPresent()) {
                last = mark;
                invalidBehindLast = false;
            } else if (!SegmentFormat.isZero(file, offset, offset + SegmentFormat.MARK_BYTES)) {
                invalidBehindLast = true;
            }
        }
        boolean missing = !files.hasMarks(generation);
        if (missing || invalidBehindLast) {
            corruptions.add(new Corruption(
                    Corruption.Kind.INVALID_SYNC_MARKS,
                    SegmentFiles.marksFile(generation),
                    0,
                    last.map(SyncMark::nextIndex).orElse(0L),
                    missing ? "the sync marks are gone" : "a sync mark is invalid"));
        }
        return last;
    }
}
