package sedgeyoke.consensus.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sedgeyoke.consensus.HardState;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.codec.ConsensusCodec;
import sedgeyoke.store.Corruption;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.DualCopyFile;
import sedgeyoke.transport.proto.KnownMessage;
import sedgeyoke.transport.proto.SlotMessage;

/**
 * Stores the hard state of a replica, who the directory belongs to, and how far its log and snapshots reach. The file
 * keeps the name of earlier versions, {@code slot}.
 */
final class HardStateFile {
    private static final String FILE = "slot";

    private final DualCopyFile file;
    private SlotMessage stored;

    private HardStateFile(DualCopyFile file, SlotMessage stored) {
        this.file = file;
        this.stored = stored;
    }

    /** Creates the file in a new directory. */
    static void create(Disk disk, ReplicaStorage.Owner owner, long storageId, Membership founders)
            throws DiskException {
        DualCopyFile file = DualCopyFile.open(disk, FILE);
        SlotMessage initial = SlotMessage.newBuilder()
                .setTier(owner.tier())
                .setKeeper(owner.server())
                .setFolder(storageId)
                .setSound(true)
                .setBoot(owner.bootId())
                .setFounders(ConsensusCodec.of(founders))
                .build();
        file.save(initial.toByteArray()); // creates the files, which have an identity only then
        file.save(initial.toBuilder().setIdentity(file.identity()).build().toByteArray());
    }

    /** Reads the file; throws if it is missing, corrupt or belongs to another tier or server. */
    static HardStateFile open(Disk disk, ReplicaStorage.Owner owner) throws DiskException, UnusableStorageException {
        DualCopyFile file = DualCopyFile.open(disk, FILE);
        Optional<Corruption> corruption = file.corruption();
        if (corruption.isPresent()) {
            throw new UnusableStorageException(
                    corruption.get() + ": this config server has to be replaced: empty the folder, then 'keepers"
                            + " remove " + owner.server() + "' and 'keepers add' it");
        }
        byte[] content = file.content()
                .orElseThrow(() -> new UnusableStorageException(
                        "no " + FILE + " file: not a config server's folder, or its disk has lost it"));
        SlotMessage stored = parse(content);
        checkOwner(stored, owner);
        return new HardStateFile(file, stored);
    }

    private static SlotMessage parse(byte[] content) throws UnusableStorageException {
        try {
            return SlotMessage.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw new UnusableStorageException(FILE + ": written by another program: " + e.getMessage());
        }
    }

    /** An empty name in {@code owner} matches every owner. */
    private static void checkOwner(SlotMessage stored, ReplicaStorage.Owner owner) throws UnusableStorageException {
        if (!owner.tier().isEmpty() && !stored.getTier().equals(owner.tier())) {
            throw new UnusableStorageException("it belongs to tier " + stored.getTier() + ", not " + owner.tier());
        }
        if (!owner.server().isEmpty() && !stored.getKeeper().equals(owner.server())) {
            throw new UnusableStorageException(
                    "it belongs to config server " + stored.getKeeper() + ", not " + owner.server());
        }
    }

    // ---- Reading -------------------------------------------------------------------------------------

    String tier() {
        return stored.getTier();
    }

    String server() {
        return stored.getKeeper();
    }

    long storageId() {
        return stored.getFolder();
    }

    /** Members of the tier when it was bootstrapped; none at a server that has joined it. */
    Membership founders() {
        return ConsensusCodec.members(stored.getFounders());
    }

    /** Highest generation of log segments that was begun. */
    long segmentGeneration() {
        return stored.getGeneration();
    }

    /** Index of the last entry that a snapshot covers. */
    long snapshotIndex() {
        return stored.getCovered();
    }

    HardState hardState() {
        Map<String, HardState.KnownPeer> known = new HashMap<>();
        stored.getKnownList()
                .forEach(peer -> known.put(peer.getName(), new HardState.KnownPeer(peer.getFolder(), peer.getRun())));
        return new HardState(stored.getTerm(), stored.getVote(), stored.getRunsList(), known, stored.getSound());
    }

    /** Whether the files are copies of the ones that this content was written to. */
    boolean isCopy() throws DiskException {
        return !file.identity().equals(stored.getIdentity());
    }

    /** Whether the operating system has restarted since the hard state was last saved as recovered. */
    boolean savedBeforeBoot(String bootId) {
        return !bootId.equals(stored.getBoot());
    }

    // ---- Writing; each call is durable when it returns -----------------------------------------------

    void saveSegmentGeneration(long generation) throws DiskException {
        save(stored.toBuilder().setGeneration(generation).build());
    }

    void saveSnapshotIndex(long index) throws DiskException {
        save(stored.toBuilder().setCovered(index).build());
    }

    void saveHardState(HardState state, String bootId) throws DiskException {
        SlotMessage.Builder next = stored.toBuilder()
                .setTerm(state.term())
                .setVote(state.votedFor())
                .setSound(state.intact())
                .clearRuns()
                .addAllRuns(state.incarnations())
                .clearKnown();
        state.knownPeers()
                .forEach((name, peer) -> next.addKnown(KnownMessage.newBuilder()
                        .setName(name)
                        .setFolder(peer.storageId())
                        .setRun(peer.incarnation())));
        if (state.intact()) {
            next.setBoot(bootId).setIdentity(file.identity());
        }
        save(next.build());
    }

    private void save(SlotMessage next) throws DiskException {
        stored = next;
        file.save(next.toByteArray());
    }
}
