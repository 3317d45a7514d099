package sedgeyoke.consensus.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import sedgeyoke.consensus.HardState;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.codec.LogCodec;
import sedgeyoke.store.Corruption;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.DualCopyFile;
import sedgeyoke.transport.proto.HardStateMessage;
import sedgeyoke.transport.proto.KnownPeerMessage;

/**
 * Stores the hard state of a replica, the owner of its directory, and the positions of its log and newest snapshot. The
 * file has the name that earlier releases gave it, {@code slot}.
 */
final class HardStateFile {
    private static final String FILE_NAME = "slot";

    private final DualCopyFile file;
    private HardStateMessage stored;

    private HardStateFile(DualCopyFile file, HardStateMessage stored) {
        this.file = file;
        this.stored = stored;
    }

    /** Creates the file in a new directory. */
    static void create(Disk disk, ReplicaStorage.Owner owner, long storageId, Membership founders)
            throws DiskException {
        DualCopyFile file = DualCopyFile.open(disk, FILE_NAME);
        HardStateMessage initial = HardStateMessage.newBuilder()
                .setTier(owner.tier())
                .setServer(owner.server())
                .setStorageId(storageId)
                .setIntact(true)
                .setBootId(owner.bootId())
                .setFounders(LogCodec.encode(founders))
                .build();
        file.save(initial.toByteArray()); // creates the files; only then do they have an identity
        file.save(initial.toBuilder().setFileIdentity(file.identity()).build().toByteArray());
    }

    /** Reads the file; throws if it is missing, corrupt, or belongs to another tier or server. */
    static HardStateFile open(Disk disk, ReplicaStorage.Owner owner) throws DiskException, UnusableStorageException {
        DualCopyFile file = DualCopyFile.open(disk, FILE_NAME);
        Optional<Corruption> corruption = file.corruption();
        if (corruption.isPresent()) {
            throw new UnusableStorageException(
                    UnusableStorageException.Reason.CORRUPT_HARD_STATE,
                    corruption.get() + ": this config server has to be replaced: empty the folder, then 'config-servers"
                            + " remove " + owner.server() + "' and 'config-servers add' it");
        }
        byte[] content = file.content()
                .orElseThrow(() -> new UnusableStorageException(
                        UnusableStorageException.Reason.NO_HARD_STATE,
                        "no " + FILE_NAME + " file: not a config server's folder, or its disk has lost it"));
        HardStateMessage stored = parse(content);
        checkOwner(stored, owner);
        return new HardStateFile(file, stored);
    }

    private static HardStateMessage parse(byte[] content) throws UnusableStorageException {
        try {
            return HardStateMessage.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            throw new UnusableStorageException(
                    UnusableStorageException.Reason.UNKNOWN_FORMAT,
                    FILE_NAME + ": written by another program: " + e.getMessage());
        }
    }

    /** Checks tier and server; an empty name in {@code owner} accepts any. */
    private static void checkOwner(HardStateMessage stored, ReplicaStorage.Owner owner)
            throws UnusableStorageException {
        if (!owner.tier().isEmpty() && !stored.getTier().equals(owner.tier())) {
            throw new UnusableStorageException(
                    UnusableStorageException.Reason.OTHER_TIER,
                    "it belongs to tier " + stored.getTier() + ", not " + owner.tier());
        }
        if (!owner.server().isEmpty() && !stored.getServer().equals(owner.server())) {
            throw new UnusableStorageException(
                    UnusableStorageException.Reason.OTHER_SERVER,
                    "it belongs to config server " + stored.getServer() + ", not " + owner.server());
        }
    }

    // ---- Reading -------------------------------------------------------------------------------------

    String tier() {
        return stored.getTier();
    }

    String server() {
        return stored.getServer();
    }

    long storageId() {
        return stored.getStorageId();
    }

    /** Returns the members of the tier when it was bootstrapped; none on a server that joined the tier later. */
    Membership founders() {
        return LogCodec.decode(stored.getFounders());
    }

    /** Returns the highest generation of log segments that was started. */
    long segmentGeneration() {
        return stored.getSegmentGeneration();
    }

    /** Returns the index of the last entry that the newest snapshot covers. */
    long snapshotIndex() {
        return stored.getSnapshotIndex();
    }

    HardState hardState() {
        Map<String, HardState.KnownPeer> known = new HashMap<>();
        stored.getKnownPeersList()
                .forEach(peer ->
                        known.put(peer.getName(), new HardState.KnownPeer(peer.getStorageId(), peer.getIncarnation())));
        return new HardState(
                stored.getTerm(), stored.getVotedFor(), stored.getIncarnationsList(), known, stored.getIntact());
    }

    /** Whether the files are copies of those to which this content was written. */
    boolean isCopy() throws DiskException {
        return !file.identity().equals(stored.getFileIdentity());
    }

    /** Whether the operating system has restarted since an intact hard state was last saved. */
    boolean savedBeforeBoot(String bootId) {
        return !bootId.equals(stored.getBootId());
    }

    // ---- Writing; each call is durable when it returns -----------------------------------------------

    void saveSegmentGeneration(long generation) throws DiskException {
        save(stored.toBuilder().setSegmentGeneration(generation).build());
    }

    void saveSnapshotIndex(long index) throws DiskException {
        save(stored.toBuilder().setSnapshotIndex(index).build());
    }

    void saveHardState(HardState state, String bootId) throws DiskException {
        HardStateMessage.Builder next = stored.toBuilder()
                .setTerm(state.term())
                .setVotedFor(state.votedFor())
                .setIntact(state.intact())
                .clearIncarnations()
                .addAllIncarnations(state.incarnations())
                .clearKnownPeers();
        state.knownPeers()
                .forEach((name, peer) -> next.addKnownPeers(KnownPeerMessage.newBuilder()
                        .setName(name)
                        .setStorageId(peer.storageId())
                        .setIncarnation(peer.incarnation())));
        if (state.intact()) {
            next.setBootId(bootId).setFileIdentity(file.identity());
        }
        save(next.build());
    }

    private void save(HardStateMessage next) throws DiskException {
        stored = next;
        file.save(next.toByteArray());
    }
}
