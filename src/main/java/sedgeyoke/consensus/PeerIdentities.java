package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks the identity of message senders: whether the replica with the sender's name still has the known storage id, is
 * a member, and has a current disk. This guards against a replica that has returned with an empty or an old disk, and
 * against a removed one that does not know that it was removed.
 */
final class PeerIdentities {
    private final ReplicaState state;
    private final Outbox outbox;
    private final PersistenceQueue persistence;
    private final LogReplication replication;
    /** The newest term that each replica is known to have had on disk. */
    private final Map<String, Long> lastSeenTerms = new HashMap<>();

    PeerIdentities(ReplicaState state, Outbox outbox, PersistenceQueue persistence, LogReplication replication) {
        this.state = state;
        this.outbox = outbox;
        this.persistence = persistence;
        this.replication = replication;
    }

    /** Whether to handle a message. A starting replica that is not a known member gets a notice instead. */
    boolean accepts(String from, long storageId, RaftMessage message) {
        Member member = state.membership.member(from);
        if (member == null) {
            return acceptsNonMember(from, message);
        }
        HardState.KnownPeer known = state.knownPeers.get(from);
        long expected = expectedStorageId(member, known);
        if (expected != 0 && !state.rules.isSameStorage(expected, storageId)) {
            return acceptsOtherStorage(from, storageId, expected, message);
        }
        if (known == null || known.storageId() != storageId) {
            state.knownPeers.put(from, new HardState.KnownPeer(storageId, 0));
            persistence.hardStateChanged();
        }
        return true;
    }

    private static long expectedStorageId(Member member, HardState.KnownPeer known) {
        if (member.storageId() != 0) {
            return member.storageId();
        }
        return known == null ? 0 : known.storageId();
    }

    private boolean acceptsNonMember(String from, RaftMessage message) {
        if (isFromStartingReplica(message) && !state.hasLostLeader()) {
            outbox.send(from, new RaftMessage.NotAMember(state.term, "is not a member of this cluster"));
            return false;
        }
        return true; // this replica's log may be behind, and the sender may be the leader
    }

    private boolean acceptsOtherStorage(String from, long storageId, long expected, RaftMessage message) {
        if (message instanceof RaftMessage.AppendEntries || message instanceof RaftMessage.InstallSnapshotChunk) {
            return true; // the sender is the leader, and this replica's log still has its predecessor
        }
        if (isFromStartingReplica(message)) {
            outbox.send(
                    from,
                    new RaftMessage.NotAMember(
                            state.term,
                            "has storage id " + Long.toHexString(storageId) + ", but the member of that name has "
                                    + Long.toHexString(expected)));
        }
        return false;
    }

    private static boolean isFromStartingReplica(RaftMessage message) {
        return message instanceof RaftMessage.RequestPreVote || message instanceof RaftMessage.RecoveryQuery;
    }

    /** Records the term of a message if senders only send messages of that type once their term is on disk. */
    void recordTerm(String from, RaftMessage message) {
        if (message instanceof RaftMessage.AppendEntries
                || message instanceof RaftMessage.AppendEntriesResponse
                || message instanceof RaftMessage.VoteResponse
                || message instanceof RaftMessage.RequestVote) {
            lastSeenTerms.merge(from, message.term(), Math::max);
        }
    }

    /**
     * Replies to the query of a replica that has started. A delayed query of an earlier incarnation is handled as if it
     * came from the current one. This does no harm: the next query of the current incarnation corrects the records, and
     * the earlier one ignores or never gets the reply.
     */
    void handle(String from, long storageId, RaftMessage.RecoveryQuery query) {
        long incarnation = query.incarnations().get(0);
        HardState.KnownPeer known = state.knownPeers.getOrDefault(from, new HardState.KnownPeer(storageId, 0));
        boolean outdated = state.rules.isOutdatedReplica(
                known.incarnation(), query.incarnations(), lastSeenTerms.getOrDefault(from, 0L), query.term());
        if (known.incarnation() != incarnation) {
            state.knownPeers.put(from, new HardState.KnownPeer(storageId, incarnation));
            persistence.hardStateChanged();
        }
        lastSeenTerms.put(from, query.term());
        replication.peerRestarted(from, incarnation);
        persistence.sendWhenPersisted(
                from,
                new RaftMessage.RecoveryReply(
                        state.term,
                        query.queryId(),
                        outdated,
                        state.recovery.isRecovered(),
                        state.recovery.isDataLost(),
                        state.isLeader(),
                        state.log.lastIndex(),
                        known.incarnation()));
    }
}
