package sedgeyoke.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An append-only log of numbered records, stored in segment files. {@link #sync} makes appended records durable and
 * writes a sync mark that states how many there are. By these marks, {@link SegmentRecovery} distinguishes a torn
 * write, which was never durable, from a {@link Corruption}. Truncation starts a new segment instead of overwriting
 * records, because a disk may return blocks from before an overwrite. To be used on one thread. After a failed
 * operation all others throw {@link IllegalStateException}, because the content of the disk is unknown.
 */
public final class SegmentLog {
    private final SegmentFiles files;
    private final int segmentBytes;
    private final GenerationStore generationStore;
    private final TreeMap<Long, Segment> segments;
    private final List<Corruption> corruptions;
    private final List<Long> unreadGenerations;

    private long highestGeneration;
    private boolean unsyncedRecords;
    private boolean failed;

    /**
     * Stores the highest segment generation outside the segment files, so that the loss of the last segment is
     * detected.
     */
    public interface GenerationStore {
        /** Stores a generation durably. Called before the new segment holds any record. */
        void save(long generation) throws DiskException;
    }

    /** Disk operations, of which any may fail. */
    private interface DiskOperation {
        void run() throws DiskException;
    }

    private SegmentLog(
            SegmentFiles files,
            SegmentRecovery.Result recovered,
            int segmentBytes,
            long highestGeneration,
            GenerationStore generationStore) {
        this.files = files;
        this.segmentBytes = segmentBytes;
        this.generationStore = generationStore;
        this.highestGeneration = highestGeneration;
        this.segments = recovered.segments();
        this.corruptions = recovered.corruptions();
        this.unreadGenerations = recovered.unreadGenerations();
        this.unsyncedRecords = recovered.unsyncedRecords();
    }

    /**
     * Opens the log of a directory, which is empty if the directory has no segments.
     *
     * @param directoryIdentity number of the directory; records written under another number are invalid
     * @param segmentBytes size of new segment files; a larger record gets a larger file
     * @param highestGeneration the generation last passed to {@code generationStore}, 0 if none was
     */
    public static SegmentLog open(
            Disk disk,
            long directoryIdentity,
            int segmentBytes,
            long highestGeneration,
            GenerationStore generationStore)
            throws DiskException {
        SegmentFormat format = new SegmentFormat(directoryIdentity);
        SegmentFiles files = new SegmentFiles(disk, format);
        SegmentRecovery.Result recovered = SegmentRecovery.scan(files, format, highestGeneration);
        SegmentLog log = new SegmentLog(files, recovered, segmentBytes, highestGeneration, generationStore);
        log.syncRecords();
        return log;
    }

    // ---- Content -------------------------------------------------------------------------------------

    /** Returns the durable data that was missing or invalid when the log was opened. */
    public List<Corruption> corruptions() {
        return List.copyOf(corruptions);
    }

    /** Returns all records, whose indexes are consecutive. */
    public List<LogRecord> records() {
        List<LogRecord> all = new ArrayList<>();
        segments.values().forEach(segment -> all.addAll(segment.records()));
        return all;
    }

    /**
     * Returns the index of the last record. Without records, it is the one before the index of the first record to
     * come, or 0 if the log has no segment.
     */
    public long lastIndex() {
        return segments.isEmpty() ? 0 : lastSegment().nextIndex() - 1;
    }

    private Segment lastSegment() {
        return segments.lastEntry().getValue();
    }

    // ---- Writing -------------------------------------------------------------------------------------

    /**
     * Writes records that follow the last one. They are not durable before the next {@link #sync}.
     *
     * @throws IllegalArgumentException if the indexes are not consecutive
     */
    public void append(List<LogRecord> records) throws DiskException {
        checkUsable();
        for (LogRecord logRecord : records) {
            if (!segments.isEmpty() && logRecord.index() != lastSegment().nextIndex()) {
                throw new IllegalArgumentException(
                        "record " + logRecord.index() + " does not follow record " + lastIndex());
            }
            Segment segment = segmentFor(logRecord);
            runDiskOperation(() -> files.append(segment, logRecord));
            unsyncedRecords = true;
        }
    }

    private Segment segmentFor(LogRecord logRecord) throws DiskException {
        int bytes = SegmentFormat.RECORD_HEADER_BYTES + logRecord.payload().length;
        if (!segments.isEmpty() && lastSegment().hasSpaceFor(bytes)) {
            return lastSegment();
        }
        syncRecords(); // a segment must be durable before the next one begins
        beginSegment(logRecord.index(), Math.max(segmentBytes, SegmentFormat.HEADER_BYTES + bytes));
        return lastSegment();
    }

    private void beginSegment(long firstIndex, int fileBytes) throws DiskException {
        long generation = highestGeneration + 1;
        runDiskOperation(() -> {
            Segment segment = files.create(generation, firstIndex, fileBytes);
            generationStore.save(generation);
            segments.put(generation, segment);
            highestGeneration = generation;
        });
    }

    /** Makes all appended records durable. */
    public void sync() throws DiskException {
        checkUsable();
        syncRecords();
    }

    private void syncRecords() throws DiskException {
        if (unsyncedRecords) {
            runDiskOperation(() -> files.sync(lastSegment()));
            unsyncedRecords = false;
        }
    }

    // ---- Truncation ----------------------------------------------------------------------------------

    /** Removes all records after an index, durably. */
    public void truncateAfter(long lastKeptIndex) throws DiskException {
        if (lastKeptIndex < lastIndex()) {
            continueAfter(lastKeptIndex);
        }
    }

    /**
     * Starts a new segment, in which the next record has the index after {@code index}. Removes later records, and
     * allows a gap before the new segment.
     */
    public void continueAfter(long index) throws DiskException {
        checkUsable();
        syncRecords();
        dropRecordsFrom(index + 1);
        beginSegment(index + 1, segmentBytes);
    }

    /**
     * Replaces the whole log, including corrupt segments, by the records that follow a snapshot. The old segments are
     * deleted once the new records are durable.
     *
     * @param snapshotIndex index of the last record that the snapshot covers
     */
    public void restart(long snapshotIndex, List<LogRecord> records) throws DiskException {
        checkUsable();
        List<Long> oldGenerations = new ArrayList<>(segments.keySet());
        oldGenerations.addAll(unreadGenerations);
        oldGenerations.sort(null);
        syncRecords();
        dropRecordsFrom(0);
        beginSegment(snapshotIndex + 1, segmentBytes);
        append(records);
        syncRecords();
        delete(oldGenerations);
        unreadGenerations.clear();
        corruptions.clear();
    }

    private void dropRecordsFrom(long index) {
        segments.values().forEach(segment -> segment.dropFrom(index));
    }

    /** Deletes the segments whose records are all covered by a snapshot, but never the newest segment. */
    public void deleteThrough(long snapshotIndex) throws DiskException {
        checkUsable();
        List<Long> coveredGenerations = new ArrayList<>();
        for (Map.Entry<Long, Segment> entry :
                segments.headMap(highestGeneration).entrySet()) {
            if (entry.getValue().nextIndex() - 1 > snapshotIndex) {
                break;
            }
            coveredGenerations.add(entry.getKey());
        }
        delete(coveredGenerations);
    }

    private void delete(List<Long> generations) throws DiskException {
        if (generations.isEmpty()) {
            return;
        }
        runDiskOperation(() -> {
            for (long generation : generations) { // in ascending order, so that a crash leaves no gap
                files.delete(generation);
                segments.remove(generation);
            }
            files.syncDeletions();
        });
    }

    private void runDiskOperation(DiskOperation diskOperation) throws DiskException {
        try {
            diskOperation.run();
        } catch (DiskException e) {
            failed = true;
            throw e;
        }
    }

    private void checkUsable() {
        if (failed) {
            throw new IllegalStateException("an earlier disk operation of this log has failed");
        }
    }
}
