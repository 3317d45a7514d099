package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * The leader's side of log replication: appends entries, sends them to the other replicas in heartbeat rounds and
 * whenever there are new ones, and advances the commit index (Raft thesis, sections 3.5 and 3.6).
 */
final class LogReplication {
    private static final int MAX_ENTRIES_PER_MESSAGE = 64;

    private final ReplicaState state;
    private final Outbox outbox;
    private final PersistenceQueue persistence;
    private final RoleTransitions roles;
    private final SnapshotTransfer snapshots;

    private final Map<String, ReplicationProgress> peers = new TreeMap<>();
    private long round;
    private long roundStartedAt;
    private long firstIndexOfTerm;

    LogReplication(
            ReplicaState state,
            Outbox outbox,
            PersistenceQueue persistence,
            RoleTransitions roles,
            SnapshotTransfer snapshots) {
        this.state = state;
        this.outbox = outbox;
        this.persistence = persistence;
        this.roles = roles;
        this.snapshots = snapshots;
    }

    /** Called when this replica becomes the leader: appends a no-op, which commits the entries of earlier terms. */
    void start() {
        round = 0;
        roundStartedAt = state.nowMicros - state.timing.heartbeatMicros();
        firstIndexOfTerm = state.log.lastIndex() + 1;
        peers.clear();
        addPeers();
        append(new Command.NoOp());
    }

    /** Called when this replica ceases to be the leader. */
    void stop() {
        peers.clear();
        snapshots.stopSending();
    }

    /** The number of the latest heartbeat round. */
    long round() {
        return round;
    }

    /** Progress of the other replicas by name; empty unless this replica leads. */
    Map<String, ReplicationProgress> peers() {
        return peers;
    }

    /** Whether an entry of this leader's term is committed. Until then, it may not know all committed entries. */
    boolean hasCommittedInTerm() {
        return state.commitIndex >= firstIndexOfTerm;
    }

    /** Appends a command to the log; returns the index of its entry. */
    long append(Command command) {
        LogEntry entry = new LogEntry(state.log.lastIndex() + 1, state.term, command);
        state.log.append(entry);
        persistence.append(entry);
        if (command instanceof Command.ChangeMembership) {
            state.updateMembership();
            addPeers(); // a removed replica stays until its removal is committed, to receive that entry
        }
        return entry.index();
    }

    private void addPeers() {
        for (String peer : state.membership.others(state.name)) {
            HardState.KnownPeer known = state.knownPeers.get(peer);
            long incarnation = known == null ? 0 : known.incarnation();
            peers.computeIfAbsent(
                    peer, added -> new ReplicationProgress(state.log.lastIndex() + 1, incarnation, state.nowMicros));
        }
    }

    /** Stops replication to replicas that are no longer members. */
    void removeFormerMembers() {
        peers.keySet().removeIf(peer -> state.membership.member(peer) == null);
    }

    /** Steps down if no majority responds or the disk is stalled; otherwise starts a heartbeat round if one is due. */
    void tick() {
        if (reachableVoters() < state.majority()) {
            outbox.log("steps down: no contact with a majority of the voters");
            roles.becomeFollower(state.term, null);
        } else if (persistence.isStalled()) {
            outbox.log("steps down: a write to disk has taken longer than "
                    + state.timing.electionTimeoutMicros() / RaftTiming.MICROS_PER_MILLI + " ms");
            roles.becomeFollower(state.term, null);
        } else if (state.nowMicros - roundStartedAt >= state.timing.heartbeatMicros()) {
            startRound();
        }
    }

    /** How many voters, including this one, responded within two election timeouts (Raft thesis, section 6.2). */
    private long reachableVoters() {
        long since = state.nowMicros - 2 * state.timing.electionTimeoutMicros();
        long others = peers.entrySet().stream()
                .filter(peer -> state.membership.voters().containsKey(peer.getKey())
                        && peer.getValue().lastContactAtMicros > since)
                .count();
        return others + (state.isVoter() ? 1 : 0);
    }

    /** Starts a heartbeat round: messages every other replica, with entries unless some are in flight to it. */
    void startRound() {
        round++;
        roundStartedAt = state.nowMicros;
        peers.forEach((peer, progress) ->
                sendEntries(peer, progress, progress.isInFlight(state.nowMicros) ? 0 : MAX_ENTRIES_PER_MESSAGE));
    }

    /** Sends entries to every replica that lacks some and has none in flight. */
    void sendPendingEntries() {
        peers.forEach((peer, progress) -> {
            if (!progress.isInFlight(state.nowMicros)
                    && progress.nextIndex <= state.log.lastIndex()
                    && !needsSnapshot(progress)) {
                sendEntries(peer, progress, MAX_ENTRIES_PER_MESSAGE);
            }
        });
    }

    private boolean needsSnapshot(ReplicationProgress progress) {
        return progress.nextIndex <= state.log.baseIndex();
    }

    private void sendEntries(String to, ReplicationProgress progress, int maxEntries) {
        long prevIndex = Math.max(state.log.baseIndex(), progress.nextIndex - 1);
        List<LogEntry> entries =
                needsSnapshot(progress) ? List.of() : state.log.entriesFrom(progress.nextIndex, maxEntries);
        if (!entries.isEmpty()) {
            progress.inFlightUntilMicros = state.nowMicros + state.timing.electionTimeoutMicros() / 2;
        }
        outbox.send(
                to,
                new RaftMessage.AppendEntries(
                        state.term, prevIndex, state.log.term(prevIndex), entries, state.commitIndex, round));
        if (needsSnapshot(progress) && maxEntries > 0) {
            snapshots.sendChunk(to, progress, round);
        }
    }

    void handle(String from, RaftMessage.AppendEntriesResponse response) {
        ReplicationProgress progress = progressOf(from, response);
        if (progress == null) {
            return;
        }
        if (progress.incarnation == 0) {
            progress.incarnation = response.incarnation();
        } else if (!state.rules.isSameIncarnation(progress.incarnation, response.incarnation())) {
            return; // entries that an earlier incarnation acknowledged may be lost
        }
        progress.lastContactAtMicros = state.nowMicros;
        progress.recovered = state.rules.countsTowardsQuorum(response.recovered());
        if (progress.recovered) {
            progress.confirmedRound = Math.max(progress.confirmedRound, response.round());
        }
        if (response.success()) {
            progress.inFlightUntilMicros = state.nowMicros;
            progress.matchIndex = Math.max(progress.matchIndex, response.matchIndex());
            progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
        } else if (progress.nextIndex - 1 > response.matchIndex()) {
            progress.nextIndex = Math.max(1, response.matchIndex() + 1);
            progress.inFlightUntilMicros = state.nowMicros;
            if (needsSnapshot(progress)) {
                snapshots.sendChunk(from, progress, round);
            }
        }
    }

    void handle(String from, RaftMessage.SnapshotChunkAck ack) {
        ReplicationProgress progress = progressOf(from, ack);
        if (progress == null || ack.lastIncludedIndex() != progress.snapshotIndex) {
            return;
        }
        progress.lastContactAtMicros = state.nowMicros;
        progress.inFlightUntilMicros = state.nowMicros;
        if (!snapshots.acknowledge(progress, ack) && needsSnapshot(progress)) {
            snapshots.sendChunk(from, progress, round);
        }
    }

    /** The progress of the sender of a response; null if the response is not to this leader in its current term. */
    private ReplicationProgress progressOf(String from, RaftMessage response) {
        return state.isLeader() && response.term() == state.term ? peers.get(from) : null;
    }

    /** Called when the recovery query of a replica shows that it has restarted. */
    void peerRestarted(String peer, long incarnation) {
        ReplicationProgress progress = peers.get(peer);
        if (progress != null && progress.incarnation != incarnation) {
            progress.restarted(incarnation, state.log.lastIndex() + 1, state.nowMicros);
        }
    }

    /** Commits the entries that a majority of the voters has on disk. */
    void advanceCommitIndex() {
        long quorumIndex = quorumValue(persistence.durableIndex(), progress -> progress.matchIndex);
        if (quorumIndex > state.commitIndex && state.rules.mayCommitEntry(state.log.term(quorumIndex), state.term)) {
            state.commitIndex = quorumIndex;
        }
    }

    /** The largest value that a majority of the voters has reached. Replicas that are not recovered count as 0. */
    long quorumValue(long ownValue, ToLongFunction<ReplicationProgress> value) {
        List<Long> values = new ArrayList<>();
        for (String voter : state.membership.voters().keySet()) {
            ReplicationProgress progress = peers.get(voter);
            if (voter.equals(state.name)) {
                values.add(ownValue);
            } else {
                values.add(progress != null && progress.recovered ? value.applyAsLong(progress) : 0);
            }
        }
        values.sort(null);
        return values.get(values.size() - state.majority());
    }

    /** Tells the most up-to-date recovered voter to start an election at once (Raft thesis, section 3.10). */
    void transferLeadership() {
        String target = null;
        for (Map.Entry<String, ReplicationProgress> peer : peers.entrySet()) {
            if (state.membership.voters().containsKey(peer.getKey())
                    && peer.getValue().recovered
                    && (target == null || peer.getValue().matchIndex > peers.get(target).matchIndex)) {
                target = peer.getKey();
            }
        }
        if (target != null) {
            outbox.log("transfers its leadership to " + target);
            outbox.send(target, new RaftMessage.TimeoutNow(state.term));
        }
    }

    /** The progress of all other replicas; for {@link RaftNode#describe()}. */
    String describe() {
        StringBuilder text = new StringBuilder();
        peers.forEach((peer, progress) -> text.append(' ')
                .append(peer)
                .append(progress.nextIndex)
                .append(',')
                .append(progress.matchIndex)
                .append(',')
                .append(progress.incarnation)
                .append(',')
                .append(progress.recovered)
                .append(',')
                .append(progress.confirmedRound)
                .append(!progress.isInFlight(state.nowMicros)));
        return text.toString();
    }
}
