package sedgeyoke.consensus;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One replica of the Raft cluster that stores the configuration, after Ongaro, "Consensus: Bridging Theory and
 * Practice" (the Raft thesis). It dispatches each event to the component that handles it, and then lets the other
 * components react to the new state. The components share {@link ReplicaState}.
 *
 * <p>This class has no I/O, clocks or threads: its host passes in one event after the other, with the time of a
 * monotonic clock, and carries out the returned actions in order. Not thread-safe: all methods must be called by one
 * thread.
 */
public final class RaftNode {
    private final ReplicaState state;
    private final Outbox outbox = new Outbox();
    private final PersistenceQueue persistence;
    private final Election election;
    private final LogReplication replication;
    private final SnapshotTransfer snapshots;
    private final LeadershipConfirmation confirmation;
    private final MembershipChange membershipChange;
    private final ConfigLeases leases;
    private final ClientRequests requests;
    private final EntryApplier applier;
    private final PeerIdentities identities;
    private final RecoveryQueries recoveryQueries;
    private final MessageDispatch messageDispatch;
    private final EventHandler eventDispatch = new EventDispatch();

    /** The role of a replica in its term (Raft thesis, section 3.3). */
    public enum Role {
        /** Follows the leader, or waits for one. */
        FOLLOWER,
        /** Asks the other voters whether it would win an election (section 9.6). */
        PRE_CANDIDATE,
        /** Requests votes. */
        CANDIDATE,
        /** Is the leader of its term. */
        LEADER
    }

    /**
     * The state that a replica finds on its disk when it starts.
     *
     * @param snapshot the latest snapshot; null if there is none
     * @param entries the log after the snapshot
     * @param suspectedLoss why data may be missing; null if there is no reason to suspect that
     * @param dataLost whether data is certainly missing
     */
    public record StoredState(
            HardState hardState, Snapshot snapshot, List<LogEntry> entries, String suspectedLoss, boolean dataLost) {}

    /**
     * The identity of a replica.
     *
     * @param name its name, as in its certificate
     * @param storageId random id of its storage directory, drawn when that was created
     * @param incarnation random id of its process, drawn when that started
     */
    public record Identity(String name, long storageId, long incarnation) {}

    /**
     * Starts a replica with the state on its disk.
     *
     * @param initialMembership the members that the cluster was bootstrapped with; without voters for a replica that is
     *     to join a running cluster
     * @param nowMicros the time of the replica's monotonic clock
     */
    public RaftNode(
            Identity identity,
            SafetyRules rules,
            StoredState stored,
            Membership initialMembership,
            SnapshotCodec codec,
            SplittableRandom random,
            long nowMicros) {
        RoleTransitions roles = new Transitions();
        state = new ReplicaState(identity, rules, stored, initialMembership, nowMicros);
        persistence = new PersistenceQueue(state, outbox);
        election = new Election(state, persistence, roles, random);
        snapshots = new SnapshotTransfer(state, outbox, persistence, roles, codec);
        replication = new LogReplication(state, outbox, persistence, roles, snapshots);
        confirmation = new LeadershipConfirmation(state, replication);
        membershipChange = new MembershipChange(state, outbox, replication, roles);
        leases = new ConfigLeases(state, outbox, replication, confirmation);
        requests = new ClientRequests(state, outbox, replication, confirmation, membershipChange, leases);
        applier = new EntryApplier(state, outbox, requests, membershipChange);
        identities = new PeerIdentities(state, outbox, persistence, replication);
        recoveryQueries = new RecoveryQueries(state, outbox, persistence, roles);
        messageDispatch = new MessageDispatch(new MessageDispatch.Handlers(
                election,
                replication,
                new AppendEntriesHandler(state, persistence, roles),
                snapshots,
                identities,
                recoveryQueries,
                requests,
                leases));
        persistence.hardStateChanged(); // the new incarnation must be on disk before others learn of it
        election.restartTimeout();
    }

    // ---- Accessors -----------------------------------------------------------------------------------

    /** The current role. */
    public Role role() {
        return state.role;
    }

    /** The newest term that this replica knows. */
    public long term() {
        return state.term;
    }

    /** The name of the leader; null while it is not known. */
    public String leader() {
        return state.leader;
    }

    /** The index of the last entry that this replica knows to be committed. */
    public long commitIndex() {
        return state.commitIndex;
    }

    /** The index of the last entry of the log. */
    public long lastIndex() {
        return state.log.lastIndex();
    }

    /** The index of the entry before the first one that the log still has. */
    public long baseIndex() {
        return state.log.baseIndex();
    }

    /** The entry with this index, which has to be in the log. */
    public LogEntry entry(long index) {
        return state.log.get(index);
    }

    /** The active config version. */
    public ConfigVersion active() {
        return state.stateMachine.active();
    }

    /** The version that is to be activated; null if there is none. */
    public ConfigVersion pending() {
        return state.stateMachine.pending();
    }

    /** The versions that were active before, oldest first. */
    public List<ConfigVersion> history() {
        return state.stateMachine.history();
    }

    /** The latest membership in the log. */
    public Membership membership() {
        return state.membership;
    }

    /** Whether this replica may vote and counts towards a quorum. */
    public boolean isRecovered() {
        return state.recovery.isRecovered();
    }

    /** Why this replica may have lost something that it acknowledged; null if there is no reason to suspect that. */
    public String suspectedLoss() {
        return state.recovery.suspectedLoss();
    }

    /** The number of balancers that may hold a lease, if this replica is the leader; otherwise 0. */
    public int leaseHolders() {
        return leases.holderCount();
    }

    /** All state except times, as text that is equal for equal states; for tests that explore states. */
    public String describe() {
        StringBuilder text = new StringBuilder(256);
        for (Object part : List.of(
                state.role,
                state.term,
                state.votedFor,
                String.valueOf(state.leader),
                state.commitIndex,
                state.lastApplied,
                state.leaderMatchIndex,
                confirmation.describe(),
                state.recovery.isRecovered(),
                state.hasLostLeader(),
                state.incarnations,
                new TreeMap<>(state.knownPeers),
                election.describe(),
                requests.describe(),
                persistence.durableIndex())) {
            text.append(part).append(' ');
        }
        for (long index = state.log.baseIndex() + 1; index <= state.log.lastIndex(); index++) {
            LogEntry entry = state.log.get(index);
            text.append(entry.term()).append(entry.command()).append(' ');
        }
        return text.append(replication.describe()).toString();
    }

    // ---- Events --------------------------------------------------------------------------------------

    /**
     * Handles an event.
     *
     * @param nowMicros the time of the replica's monotonic clock; if earlier than in the last call, that time is used
     * @return the actions to carry out, in order
     */
    public List<Action> handle(Event event, long nowMicros) {
        state.nowMicros = Math.max(state.nowMicros, nowMicros);
        event.deliver(eventDispatch);
        advance();
        return outbox.take();
    }

    private void tick() {
        requests.expireForwarded();
        recoveryQueries.tick();
        if (state.isLeader()) {
            replication.tick();
        } else if (election.isTimedOut()) {
            electionTimeout();
        }
    }

    private void electionTimeout() {
        state.role = Role.FOLLOWER;
        election.restartTimeout();
        if (state.mayVote() && !persistence.isStalled()) {
            election.startPreVote();
        } else if (!state.recovery.isRecovered()) {
            recoveryQueries.warnNotRecovered();
        }
    }

    private void receive(String from, long storageId, RaftMessage message) {
        if (!identities.accepts(from, storageId, message)) {
            return;
        }
        identities.recordTerm(from, message);
        // a vote request may have to be ignored, so its handler decides whether to enter its term
        if (message.term() > state.term && !(message instanceof RaftMessage.RequestVote)) {
            becomeFollower(message.term(), null);
        }
        messageDispatch.dispatch(from, storageId, message);
    }

    /** Takes the steps that the event may have made possible, in an order in which one step enables the next. */
    private void advance() {
        if (election.mayLead()) {
            becomeLeader();
        }
        recoveryQueries.update();
        if (state.isLeader()) {
            replication.advanceCommitIndex();
            confirmation.update();
        }
        applier.applyCommitted();
        leases.sendDeferred();
        snapshots.takeSnapshotIfDue();
        if (state.isLeader()) {
            leases.activatePending();
            membershipChange.proposePending();
            replication.sendPendingEntries();
        }
        persistence.flush();
    }

    // ---- Roles ---------------------------------------------------------------------------------------

    private void becomeLeader() {
        state.role = Role.LEADER;
        state.leader = state.name;
        outbox.log("becomes leader of term " + state.term);
        leases.start();
        confirmation.start();
        replication.start();
    }

    private void becomeFollower(long term, String leader) {
        if (term > state.term) {
            state.term = term;
            state.votedFor = "";
            persistence.hardStateChanged();
        }
        if (leader == null || !leader.equals(state.leader)) {
            state.leaderMatchIndex = ReplicaState.UNKNOWN_INDEX;
        }
        state.leader = leader;
        if (state.isLeader()) {
            outbox.log("is no longer leader, term " + state.term);
            requests.stop();
            confirmation.stop();
            replication.stop();
            leases.stop();
        }
        if (state.role != Role.FOLLOWER) {
            state.role = Role.FOLLOWER;
            election.restartTimeout();
        }
    }

    private final class EventDispatch implements EventHandler {
        @Override
        public void handle(Event.Tick tick) {
            RaftNode.this.tick();
        }

        @Override
        public void handle(Event.Received received) {
            receive(received.from(), received.storageId(), received.message());
        }

        @Override
        public void handle(Event.Persisted persisted) {
            persistence.persisted(persisted.token());
        }

        @Override
        public void handle(Event.RequestReceived received) {
            requests.receive(received.token(), received.request());
        }

        @Override
        public void handle(Event.LeasesRequested requested) {
            leases.receive(requested.requests());
        }

        @Override
        public void handle(Event.TransferLeadership transfer) {
            if (state.isLeader()) {
                replication.transferLeadership();
            }
        }
    }

    private final class Transitions implements RoleTransitions {
        @Override
        public void becomeFollower(long term, String leader) {
            RaftNode.this.becomeFollower(term, leader);
        }

        @Override
        public void recordLeaderContact(String leader) {
            if (state.role != Role.FOLLOWER || !leader.equals(state.leader)) {
                RaftNode.this.becomeFollower(state.term, leader);
            }
            state.lastLeaderContactAtMicros = state.nowMicros;
            election.restartTimeout();
        }
    }
}
