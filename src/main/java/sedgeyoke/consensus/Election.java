package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Elections: the election timeout, the pre-vote, the votes that a candidate gets and those that this replica grants
 * (Raft thesis, sections 3.4 and 9.6). Unlike in the thesis, a majority counts only votes of recovered replicas, see
 * {@link ReplicaRecovery}. The votes of all voters elect a leader too, recovered or not: the most complete log of all
 * has every entry that was ever committed.
 */
final class Election {
    private final ReplicaState state;
    private final PersistenceQueue persistence;
    private final RoleTransitions roles;
    private final SplittableRandom random;

    /** The replicas that have granted their pre-vote or vote, each with whether it is recovered. */
    private final Map<String, Boolean> votes = new HashMap<>();

    private long startedAtMicros;
    private long timeoutAtMicros;

    Election(ReplicaState state, PersistenceQueue persistence, RoleTransitions roles, SplittableRandom random) {
        this.state = state;
        this.persistence = persistence;
        this.roles = roles;
        this.random = random;
    }

    /** Restarts the election timeout with a random duration between the configured minimum and twice that. */
    void restartTimeout() {
        long minimum = state.timing.electionTimeoutMicros();
        timeoutAtMicros = state.nowMicros + minimum + random.nextLong(minimum);
    }

    boolean isTimedOut() {
        return state.nowMicros >= timeoutAtMicros;
    }

    /** Asks the other voters whether they would vote for this replica; starts an election if enough of them would. */
    void startPreVote() {
        state.role = RaftNode.Role.PRE_CANDIDATE;
        startCountingVotes();
        if (hasWon()) {
            startElection(false);
            return;
        }
        RaftMessage request = new RaftMessage.RequestPreVote(state.term, state.log.lastIndex(), state.log.lastTerm());
        state.otherVoters().forEach(voter -> persistence.sendWhenPersisted(voter, request));
    }

    private void startElection(boolean leadershipTransfer) {
        state.role = RaftNode.Role.CANDIDATE;
        state.term++;
        state.votedFor = state.name;
        persistence.hardStateChanged();
        startedAtMicros = state.nowMicros;
        restartTimeout();
        startCountingVotes();
        RaftMessage request = new RaftMessage.RequestVote(
                state.term, state.log.lastIndex(), state.log.lastTerm(), leadershipTransfer);
        state.otherVoters().forEach(voter -> persistence.sendWhenPersisted(voter, request));
    }

    private void startCountingVotes() {
        state.leader = null;
        state.leaderMatchIndex = ReplicaState.UNKNOWN_INDEX;
        votes.clear();
        votes.put(state.name, state.recovery.isRecovered());
    }

    /** Whether this replica is a candidate that has won, and its own vote is on disk. */
    boolean mayLead() {
        return state.role == RaftNode.Role.CANDIDATE
                && persistence.isHardStatePersisted()
                && areVotesValid()
                && hasWon();
    }

    private boolean areVotesValid() {
        return state.rules.votesAreValid(state.nowMicros, startedAtMicros);
    }

    private boolean hasWon() {
        Map<String, Member> voters = state.membership.voters();
        long granted = votes.keySet().stream().filter(voters::containsKey).count();
        long recovered = votes.entrySet().stream()
                .filter(vote -> vote.getValue() && voters.containsKey(vote.getKey()))
                .count();
        return recovered >= state.majority() || granted == voters.size();
    }

    void handle(String from, RaftMessage.RequestPreVote request) {
        boolean granted = request.term() >= state.term
                && state.mayVote()
                && state.isUpToDate(request.lastIndex(), request.lastTerm())
                && state.hasLostLeader();
        persistence.sendWhenPersisted(
                from, new RaftMessage.PreVoteResponse(state.term, granted, state.recovery.isRecovered()));
    }

    void handle(String from, RaftMessage.PreVoteResponse response) {
        if (state.role == RaftNode.Role.PRE_CANDIDATE && response.term() == state.term && response.granted()) {
            votes.put(from, response.recovered());
            if (hasWon()) {
                startElection(false);
            }
        }
    }

    void handle(String from, RaftMessage.RequestVote request) {
        if (request.term() > state.term) {
            if (!request.leadershipTransfer() && !state.hasLostLeader()) {
                return; // a removed replica must not depose an active leader (Raft thesis, section 4.2.3)
            }
            roles.becomeFollower(request.term(), null);
        }
        boolean granted = request.term() == state.term
                && state.rules.mayVoteFor(from, state.votedFor)
                && state.mayVote()
                && (state.role == RaftNode.Role.FOLLOWER || state.role == RaftNode.Role.PRE_CANDIDATE)
                && state.isUpToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            state.role = RaftNode.Role.FOLLOWER;
            state.votedFor = from;
            persistence.hardStateChanged();
            restartTimeout();
        }
        persistence.sendWhenPersisted(
                from, new RaftMessage.VoteResponse(state.term, granted, state.recovery.isRecovered()));
    }

    void handle(String from, RaftMessage.VoteResponse response) {
        if (state.role == RaftNode.Role.CANDIDATE
                && response.term() == state.term
                && response.granted()
                && areVotesValid()) {
            votes.put(from, response.recovered());
        }
    }

    void handle(String from, RaftMessage.TimeoutNow message) {
        if (message.term() == state.term && from.equals(state.leader) && state.mayVote()) {
            startElection(true);
        }
    }

    /** The votes, and whether they can still be counted; for {@link RaftNode#describe()}. */
    String describe() {
        return (state.nowMicros <= startedAtMicros + state.timing.electionTimeoutMicros()) + " " + new TreeMap<>(votes);
    }
}
