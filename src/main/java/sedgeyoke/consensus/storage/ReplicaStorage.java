package sedgeyoke.consensus.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import sedgeyoke.consensus.Action;
import sedgeyoke.consensus.HardState;
import sedgeyoke.consensus.LogEntry;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.Snapshot;
import sedgeyoke.consensus.codec.ConsensusCodec;
import sedgeyoke.store.Corruption;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.DualCopyFile;
import sedgeyoke.store.SegmentLog;
import sedgeyoke.store.Snapshots;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.EntryMessage;
import sedgeyoke.transport.proto.KnownMessage;
import sedgeyoke.transport.proto.SlotMessage;

/**
 * What a keeper keeps: terms and votes in a twin file, the log in segments, snapshots. It reads a folder back as what
 * can be believed of it, with the reasons where that may not be all that was promised.
 */
public final class ReplicaStorage {
    private static final String SLOT = "slot";
    private static final int SEGMENT_BYTES = 1 << 20;

    private final Disk disk;
    private final String boot;
    private final ConsensusCodec codec = new ConsensusCodec();
    private final DualCopyFile slotFile;
    private final Snapshots snapshots;
    private final SegmentLog log;
    private SlotMessage slot;
    /** The snapshot before the newest: the log goes on from there, in case the newest rots. */
    private long olderCovered;

    private RaftNode.StoredState recovered;
    private List<Corruption> damage = List.of();

    /** A folder that no keeper can be started from; the message says why, and what to do. */
    public static final class Unusable extends Exception {
        private static final long serialVersionUID = 1L;

        Unusable(String message) {
            super(message);
        }
    }

    /** What whoever opens a folder knows of it: whose it is to be, and the system's number of its present start. */
    public record Owner(String tier, String keeper, String boot, boolean forcesMayLie) {}

    private ReplicaStorage(Disk disk, Owner owner, int segmentBytes) throws DiskException, Unusable {
        this.disk = disk;
        this.boot = owner.boot();
        this.slotFile = DualCopyFile.open(disk, SLOT);
        this.slot = readSlot(owner);
        this.snapshots = new Snapshots(disk, slot.getFolder());
        Optional<Snapshots.Snapshot> newest = snapshots.newest();
        this.log = SegmentLog.open(
                disk,
                slot.getFolder(),
                segmentBytes,
                slot.getGeneration(),
                generation ->
                        saveSlot(slot.toBuilder().setGeneration(generation).build()));
        recover(owner, newest);
    }

    /** Whether a folder holds nothing yet. */
    public static boolean isEmpty(Disk disk) throws DiskException {
        return disk.names().isEmpty();
    }

    /**
     * Makes an empty folder a keeper's.
     *
     * @param folder its number, drawn at random
     * @param founders the keepers of a tier that is founded; none where it is to join one
     */
    public static void make(Disk disk, Owner owner, long folder, Membership founders) throws DiskException, Unusable {
        if (!isEmpty(disk)) {
            throw new Unusable("the folder is not empty");
        }
        DualCopyFile file = DualCopyFile.open(disk, SLOT);
        SlotMessage first = SlotMessage.newBuilder()
                .setTier(owner.tier())
                .setKeeper(owner.keeper())
                .setFolder(folder)
                .setSound(true)
                .setBoot(owner.boot())
                .setFounders(ConsensusCodec.of(founders))
                .build();
        file.save(first.toByteArray()); // makes the files, so that they can be told from copies
        file.save(first.toBuilder().setIdentity(file.identity()).build().toByteArray());
    }

    /** Reads a folder. */
    public static ReplicaStorage open(Disk disk, Owner owner) throws DiskException, Unusable {
        return new ReplicaStorage(disk, owner, SEGMENT_BYTES);
    }

    /** The same with segments of another size. */
    public static ReplicaStorage open(Disk disk, Owner owner, int segmentBytes) throws DiskException, Unusable {
        return new ReplicaStorage(disk, owner, segmentBytes);
    }

    /** What can be said of a folder that nobody uses. */
    public record Report(
            String tier, String keeper, long folder, long term, long last, long covered, List<Corruption> damage) {}

    /** Reads a folder as a start would, whoever's it is, and changes nothing in it. */
    public static Report check(Disk disk) throws DiskException, Unusable {
        ReplicaStorage f = new ReplicaStorage(new ReadOnly(disk), new Owner("", "", "", false), SEGMENT_BYTES);
        long covered =
                f.recovered.snapshot() == null ? 0 : f.recovered.snapshot().lastIncludedIndex();
        return new Report(
                f.tier(),
                f.keeper(),
                f.folder(),
                f.recovered.hardState().term(),
                covered + f.recovered.entries().size(),
                covered,
                f.damage);
    }

    /** A disk on which nothing happens. */
    private record ReadOnly(Disk disk) implements Disk {
        @Override
        public List<String> names() throws DiskException {
            return disk.names();
        }

        @Override
        public long length(String name) throws DiskException {
            return disk.length(name);
        }

        @Override
        public String identity(String name) throws DiskException {
            return disk.identity(name);
        }

        @Override
        public byte[] read(String name, long at, int length) throws DiskException {
            return disk.read(name, at, length);
        }

        @Override
        public void allocate(String name, long length) {}

        @Override
        public void write(String name, long at, byte[] bytes) {}

        @Override
        public void force(String name) {}

        @Override
        public void forceNames() {}

        @Override
        public void rename(String from, String to) {}

        @Override
        public void delete(String name) {}
    }

    private SlotMessage readSlot(Owner owner) throws Unusable {
        if (slotFile.damage() != null) {
            throw new Unusable(slotFile.damage() + ": this keeper has to be replaced: empty the folder, then 'keepers"
                    + " remove " + owner.keeper() + "' and 'keepers add' it");
        }
        byte[] content = slotFile.content()
                .orElseThrow(
                        () -> new Unusable("no " + SLOT + " file: not a keeper's folder, or its disk has lost it"));
        try {
            SlotMessage read = SlotMessage.parseFrom(content);
            if (!owner.tier().isEmpty() && !read.getTier().equals(owner.tier())) {
                throw new Unusable("it belongs to tier " + read.getTier() + ", not " + owner.tier());
            } else if (!owner.keeper().isEmpty() && !read.getKeeper().equals(owner.keeper())) {
                throw new Unusable("it belongs to keeper " + read.getKeeper() + ", not " + owner.keeper());
            }
            return read;
        } catch (InvalidProtocolBufferException e) {
            throw new Unusable(SLOT + ": written by another program: " + e.getMessage());
        }
    }

    private void recover(Owner owner, Optional<Snapshots.Snapshot> newest) throws DiskException, Unusable {
        List<Corruption> found = new ArrayList<>(log.damage());
        Snapshot snapshot = newest.map(s -> codec.decode(s.state())).orElse(null);
        long covered = snapshot == null ? 0 : snapshot.lastIncludedIndex();
        olderCovered = covered;
        List<LogEntry> entries = entries(log.records());
        long first = entries.isEmpty() ? log.last() + 1 : entries.get(0).index();
        if (first > covered + 1 || covered < slot.getCovered() && log.last() < slot.getCovered()) {
            found.addAll(snapshots.damage());
            found.add(new Corruption(
                    "log",
                    0,
                    covered + 1,
                    "entries up to " + slot.getCovered() + " are in no snapshot and not in the log"));
            entries = List.of();
        }
        boolean follows = covered == 0
                || covered == first - 1
                || entries.stream().anyMatch(e -> e.index() == covered && e.term() == snapshot.lastIncludedTerm());
        entries = follows ? entries.stream().filter(e -> e.index() > covered).toList() : List.of();
        damage = List.copyOf(found);
        if (log.last() != covered + entries.size()) {
            if (found.isEmpty()) {
                log.restart(covered, List.of()); // a snapshot came from elsewhere, and the log had not begun anew yet
            } else {
                log.continueBehind(covered + entries.size()); // what is bad stays, until it has been replaced
            }
        }
        Map<String, HardState.KnownPeer> known = new HashMap<>();
        slot.getKnownList().forEach(k -> known.put(k.getName(), new HardState.KnownPeer(k.getFolder(), k.getRun())));
        recovered = new RaftNode.StoredState(
                new HardState(slot.getTerm(), slot.getVote(), slot.getRunsList(), known, slot.getSound()),
                snapshot,
                entries,
                doubt(owner, found),
                !found.isEmpty());
    }

    private String doubt(Owner owner, List<Corruption> found) throws DiskException {
        if (!found.isEmpty()) {
            return String.join("; ", found.stream().map(Corruption::toString).toList());
        } else if (!slot.getSound()) {
            return "was in doubt when it ended";
        }
        if (!slotFile.identity().equals(slot.getIdentity())) {
            return "the folder is a copy: what its keeper promised since that was made is not in it";
        }
        return owner.forcesMayLie() && !owner.boot().equals(slot.getBoot())
                ? "the machine has started anew since, and what was forced may not have lasted"
                : null;
    }

    private static List<LogEntry> entries(List<SegmentLog.Record> records) throws Unusable {
        List<LogEntry> entries = new ArrayList<>(records.size());
        for (SegmentLog.Record r : records) {
            try {
                entries.add(ConsensusCodec.entry(EntryMessage.parseFrom(r.payload())));
            } catch (InvalidProtocolBufferException | InvalidMessageException e) {
                throw new Unusable("record " + r.index() + " is whole but no entry: " + e.getMessage());
            }
        }
        return entries;
    }

    /** What can be believed. */
    public RaftNode.StoredState recovered() {
        return recovered;
    }

    /** What was promised and is not there. */
    public List<Corruption> damage() {
        return damage;
    }

    /** The number of this folder. */
    public long folder() {
        return slot.getFolder();
    }

    /** Whose it is. */
    public String keeper() {
        return slot.getKeeper();
    }

    /** The tier that it belongs to. */
    public String tier() {
        return slot.getTier();
    }

    /** The keepers as the tier was founded; none where it has joined. */
    public Membership founders() {
        return ConsensusCodec.members(slot.getFounders());
    }

    private void saveSlot(SlotMessage next) throws DiskException {
        slot = next;
        slotFile.save(next.toByteArray());
    }

    /** Makes what a keeper wants to last last; all of it does once this has returned. */
    public void carryOut(Action.Persist p) throws DiskException {
        if (p.hardState() != null) {
            SlotMessage.Builder next = slot.toBuilder()
                    .setTerm(p.hardState().term())
                    .setVote(p.hardState().votedFor())
                    .setSound(p.hardState().intact())
                    .clearRuns()
                    .addAllRuns(p.hardState().incarnations())
                    .clearKnown();
            p.hardState()
                    .knownPeers()
                    .forEach((name, k) -> next.addKnown(KnownMessage.newBuilder()
                            .setName(name)
                            .setFolder(k.storageId())
                            .setRun(k.incarnation())));
            if (p.hardState().intact()) {
                next.setBoot(boot).setIdentity(slotFile.identity());
            }
            saveSlot(next.build());
        }
        if (p.snapshot() != null) {
            snapshots.save(new Snapshots.Snapshot(p.snapshot().lastIncludedIndex(), codec.encode(p.snapshot())));
            saveSlot(slot.toBuilder()
                    .setCovered(p.snapshot().lastIncludedIndex())
                    .build());
        }
        List<SegmentLog.Record> records = new ArrayList<>(p.entries().size());
        for (LogEntry e : p.entries()) {
            records.add(new SegmentLog.Record(e.index(), ConsensusCodec.of(e).toByteArray()));
        }
        if (p.restartLogAfter() >= 0) {
            log.restart(p.restartLogAfter(), records);
        } else {
            if (p.truncateAfter() >= 0) {
                log.truncate(p.truncateAfter());
            }
            log.append(records);
            log.force();
        }
        if (p.snapshot() != null) {
            log.dropThrough(olderCovered);
            olderCovered = p.snapshot().lastIncludedIndex();
        }
    }
}
