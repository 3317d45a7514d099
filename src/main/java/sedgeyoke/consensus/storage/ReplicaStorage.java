package sedgeyoke.consensus.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.consensus.Action;
import sedgeyoke.consensus.LogEntry;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.Snapshot;
import sedgeyoke.consensus.codec.LogCodec;
import sedgeyoke.consensus.codec.ProtobufSnapshotCodec;
import sedgeyoke.store.Corruption;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.LogRecord;
import sedgeyoke.store.ReadOnlyDisk;
import sedgeyoke.store.SegmentLog;
import sedgeyoke.store.SnapshotStore;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.LogEntryMessage;

/**
 * Stores the hard state, log and snapshots of one replica. Opening a directory recovers its valid data and reports
 * durable data that is missing. After opening, to be used on one thread.
 */
public final class ReplicaStorage {
    private static final int SEGMENT_BYTES = 1 << 20;

    private final String bootId;
    private final ProtobufSnapshotCodec snapshotCodec = new ProtobufSnapshotCodec();
    private final HardStateFile hardStateFile;
    private final SnapshotStore snapshots;
    private final SegmentLog log;
    /**
     * Index of the last entry that the second newest snapshot covers. The log is kept from there on, in case the newest
     * snapshot is corrupt.
     */
    private long previousSnapshotIndex;

    private RaftNode.StoredState recovered;
    private List<Corruption> corruptions = List.of();

    /**
     * The owner that a directory must have, and what determines whether it may have lost writes.
     *
     * @param tier name of the tier; empty to accept any
     * @param server name of the config server; empty to accept any
     * @param bootId identifies the present boot of the operating system; empty if unknown
     * @param fsyncMayBeLost whether the disk may lose fsynced writes when the machine restarts
     */
    public record Owner(String tier, String server, String bootId, boolean fsyncMayBeLost) {}

    /**
     * Summary of a directory.
     *
     * @param storageId random number that identifies the directory
     * @param lastIndex index of the last valid log entry
     * @param snapshotIndex index of the last entry that the newest snapshot covers; 0 without one
     */
    public record Report(
            String tier,
            String server,
            long storageId,
            long term,
            long lastIndex,
            long snapshotIndex,
            List<Corruption> corruptions) {}

    private ReplicaStorage(Disk disk, Owner owner, int segmentBytes) throws DiskException, UnusableStorageException {
        this.bootId = owner.bootId();
        this.hardStateFile = HardStateFile.open(disk, owner);
        this.snapshots = new SnapshotStore(disk, hardStateFile.storageId());
        Snapshot snapshot = snapshots
                .newest()
                .map(found -> snapshotCodec.decode(found.state()))
                .orElse(null);
        this.log = SegmentLog.open(
                disk,
                hardStateFile.storageId(),
                segmentBytes,
                hardStateFile.segmentGeneration(),
                hardStateFile::saveSegmentGeneration);
        recover(owner, snapshot);
    }

    /** Whether a directory holds no file yet. */
    public static boolean isEmpty(Disk disk) throws DiskException {
        return disk.fileNames().isEmpty();
    }

    /**
     * Initializes an empty directory.
     *
     * @param storageId random number that identifies the directory
     * @param founders members of the tier that is bootstrapped; none if the server is to join an existing tier
     */
    public static void create(Disk disk, Owner owner, long storageId, Membership founders)
            throws DiskException, UnusableStorageException {
        if (!isEmpty(disk)) {
            throw new UnusableStorageException(UnusableStorageException.Reason.NOT_EMPTY, "the folder is not empty");
        }
        HardStateFile.create(disk, owner, storageId, founders);
    }

    /** Opens a directory and recovers its content. */
    public static ReplicaStorage open(Disk disk, Owner owner) throws DiskException, UnusableStorageException {
        return open(disk, owner, SEGMENT_BYTES);
    }

    /** Opens a directory and recovers its content; new log segments have {@code segmentBytes} bytes. */
    public static ReplicaStorage open(Disk disk, Owner owner, int segmentBytes)
            throws DiskException, UnusableStorageException {
        return new ReplicaStorage(disk, owner, segmentBytes);
    }

    /** Recovers the content of a directory of any owner without changing the directory. No process may be using it. */
    public static Report inspect(Disk disk) throws DiskException, UnusableStorageException {
        ReplicaStorage storage = open(new ReadOnlyDisk(disk), new Owner("", "", "", false));
        long snapshotIndex = storage.recovered.snapshot() == null
                ? 0
                : storage.recovered.snapshot().lastIncludedIndex();
        return new Report(
                storage.tier(),
                storage.server(),
                storage.storageId(),
                storage.recovered.hardState().term(),
                snapshotIndex + storage.recovered.entries().size(),
                snapshotIndex,
                storage.corruptions);
    }

    // ---- Recovery ------------------------------------------------------------------------------------

    private void recover(Owner owner, Snapshot snapshot) throws DiskException, UnusableStorageException {
        List<Corruption> found = new ArrayList<>(log.corruptions());
        long snapshotIndex = snapshot == null ? 0 : snapshot.lastIncludedIndex();
        previousSnapshotIndex = snapshotIndex;
        List<LogEntry> entries = decode(log.records());
        if (hasGap(entries, snapshotIndex)) {
            found.addAll(snapshots.corruptions());
            found.add(new Corruption(
                    Corruption.Kind.MISSING_RECORDS,
                    "log",
                    0,
                    snapshotIndex + 1,
                    "entries up to " + hardStateFile.snapshotIndex() + " are in no snapshot and not in the log"));
            entries = List.of();
        }
        entries = entriesAfter(snapshot, entries);
        corruptions = List.copyOf(found);
        long lastIndex = snapshotIndex + entries.size();
        if (log.lastIndex() != lastIndex) {
            if (found.isEmpty()) { // the process ended after saving a leader's snapshot, before log.restart
                log.restart(snapshotIndex, List.of());
            } else { // corrupt segments are kept until a snapshot replaces them
                log.continueAfter(lastIndex);
            }
        }
        recovered = new RaftNode.StoredState(
                hardStateFile.hardState(), snapshot, entries, suspectedLoss(owner, found), !found.isEmpty());
    }

    private boolean hasGap(List<LogEntry> entries, long snapshotIndex) {
        long firstIndex =
                entries.isEmpty() ? log.lastIndex() + 1 : entries.get(0).index();
        long storedSnapshotIndex = hardStateFile.snapshotIndex();
        boolean snapshotLost = snapshotIndex < storedSnapshotIndex && log.lastIndex() < storedSnapshotIndex;
        return firstIndex > snapshotIndex + 1 || snapshotLost;
    }

    /** Returns the entries after a snapshot; none if the log does not contain or directly follow its last entry. */
    private List<LogEntry> entriesAfter(Snapshot snapshot, List<LogEntry> entries) {
        if (snapshot == null || snapshot.lastIncludedIndex() == 0) {
            return entries;
        }
        long firstIndex =
                entries.isEmpty() ? log.lastIndex() + 1 : entries.get(0).index();
        boolean continuesSnapshot = snapshot.lastIncludedIndex() == firstIndex - 1
                || entries.stream()
                        .anyMatch(entry -> entry.index() == snapshot.lastIncludedIndex()
                                && entry.term() == snapshot.lastIncludedTerm());
        return continuesSnapshot
                ? entries.stream()
                        .filter(entry -> entry.index() > snapshot.lastIncludedIndex())
                        .toList()
                : List.of();
    }

    /**
     * Returns why durable data may be missing, so that the replica must first query its peers; null if it need not.
     */
    private String suspectedLoss(Owner owner, List<Corruption> found) throws DiskException {
        if (!found.isEmpty()) {
            return String.join("; ", found.stream().map(Corruption::toString).toList());
        }
        if (!hardStateFile.hardState().intact()) {
            return "was still recovering when it ended";
        }
        if (hardStateFile.isCopy()) {
            return "the folder is a copy: later writes of its server are not in it";
        }
        return owner.fsyncMayBeLost() && hardStateFile.savedBeforeBoot(owner.bootId())
                ? "the machine has restarted, and fsynced writes may be lost"
                : null;
    }

    private static List<LogEntry> decode(List<LogRecord> records) throws UnusableStorageException {
        List<LogEntry> entries = new ArrayList<>(records.size());
        for (LogRecord logRecord : records) {
            try {
                entries.add(LogCodec.decode(LogEntryMessage.parseFrom(logRecord.payload())));
            } catch (InvalidProtocolBufferException | InvalidMessageException e) {
                throw new UnusableStorageException(
                        UnusableStorageException.Reason.UNKNOWN_FORMAT,
                        "record " + logRecord.index() + " has a valid checksum but is no log entry: " + e.getMessage());
            }
        }
        return entries;
    }

    // ---- Content -------------------------------------------------------------------------------------

    /** Returns what was recovered when the directory was opened. */
    public RaftNode.StoredState recovered() {
        return recovered;
    }

    /** Returns the durable data that was missing or invalid when the directory was opened. */
    public List<Corruption> corruptions() {
        return corruptions;
    }

    /** Returns the random number of the directory, which distinguishes it from one that replaced it. */
    public long storageId() {
        return hardStateFile.storageId();
    }

    /** Returns the name of the config server that the directory belongs to. */
    public String server() {
        return hardStateFile.server();
    }

    /** Returns the name of the tier that the server belongs to. */
    public String tier() {
        return hardStateFile.tier();
    }

    /** Returns the members of the tier when it was bootstrapped; none on a server that joined the tier later. */
    public Membership founders() {
        return hardStateFile.founders();
    }

    // ---- Writing -------------------------------------------------------------------------------------

    /** Writes what the node asks for, which is durable when this method returns. */
    public void persist(Action.Persist action) throws DiskException {
        if (action.hardState() != null) {
            hardStateFile.saveHardState(action.hardState(), bootId);
        }
        Snapshot snapshot = action.snapshot();
        if (snapshot != null) {
            snapshots.save(
                    new SnapshotStore.StoredSnapshot(snapshot.lastIncludedIndex(), snapshotCodec.encode(snapshot)));
            hardStateFile.saveSnapshotIndex(snapshot.lastIncludedIndex());
        }
        writeLog(action);
        if (snapshot != null) {
            log.deleteThrough(previousSnapshotIndex);
            previousSnapshotIndex = snapshot.lastIncludedIndex();
        }
    }

    private void writeLog(Action.Persist action) throws DiskException {
        List<LogRecord> records = new ArrayList<>(action.entries().size());
        for (LogEntry entry : action.entries()) {
            records.add(new LogRecord(entry.index(), LogCodec.encode(entry).toByteArray()));
        }
        if (action.restartLogAfter() >= 0) {
            log.restart(action.restartLogAfter(), records);
            return;
        }
        if (action.truncateAfter() >= 0) {
            log.truncateAfter(action.truncateAfter());
        }
        log.append(records);
        log.sync();
    }
}
