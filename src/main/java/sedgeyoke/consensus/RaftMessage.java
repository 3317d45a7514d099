package sedgeyoke.consensus;

import java.util.List;

/** What keepers say to one another. Every message may be lost, late, doubled or out of order. */
public sealed interface RaftMessage {
    /** The sender's term. */
    long term();

    /** Would you vote for me in the term after yours, if I asked? Changes nothing at whoever is asked. */
    record RequestPreVote(long term, long lastIndex, long lastTerm) implements RaftMessage {}

    /** The answer; {@code recovered} as for votes. */
    record PreVoteResponse(long term, boolean granted, boolean recovered) implements RaftMessage {}

    /** Vote for me in this term. {@code leadershipTransfer}: the leader wants it; being content with it is no reason. */
    record RequestVote(long term, long lastIndex, long lastTerm, boolean leadershipTransfer) implements RaftMessage {}

    /** The answer. {@code recovered}: whoever votes has lost nothing of what it ever promised. */
    record VoteResponse(long term, boolean granted, boolean recovered) implements RaftMessage {}

    /**
     * Entries behind one that both sides have; none as a heartbeat.
     *
     * @param round counts the leader's rounds; its echo proves that the leader still led when the round began
     */
    record AppendEntries(
            long term, long prevIndex, long prevTerm, List<LogEntry> entries, long leaderCommit, long round)
            implements RaftMessage {}

    /**
     * The answer, once all that it promises is on disk.
     *
     * @param matchIndex the log is the leader's up to here; where {@code success} is false, where to try next
     * @param incarnation the sender's run: what an earlier one had may be gone
     * @param recovered whether it counts
     */
    record AppendEntriesResponse(
            long term, boolean success, long matchIndex, long round, long incarnation, boolean recovered)
            implements RaftMessage {}

    /** A part of a snapshot. */
    record InstallSnapshotChunk(
            long term,
            long lastIncludedIndex,
            long lastIncludedTerm,
            long offset,
            long totalSize,
            byte[] data,
            long round)
            implements RaftMessage {}

    /** How much of it is there. */
    record SnapshotChunkAck(long term, long lastIncludedIndex, long nextOffset, long round) implements RaftMessage {}

    /** Stand for election now: the leader wants to go. */
    record TimeoutNow(long term) implements RaftMessage {}

    /**
     * I have just started, and want to know what you know of me and of the tier.
     *
     * @param incarnations the sender's runs, the present one first, as far as its disk remembers
     * @param queryId of this question, by the sender
     */
    record RecoveryQuery(long term, List<Long> incarnations, long queryId) implements RaftMessage {}

    /**
     * The answer.
     *
     * @param outdated you had a run that your disk knows nothing of
     * @param recovered whether I have lost nothing myself
     * @param dataLost whether I surely have
     * @param isLeader whether I lead
     * @param lastIndex of my log
     * @param knownIncarnation the run of yours that I knew before
     */
    record RecoveryReply(
            long term,
            long queryId,
            boolean outdated,
            boolean recovered,
            boolean dataLost,
            boolean isLeader,
            long lastIndex,
            long knownIncarnation)
            implements RaftMessage {}

    /** You are no keeper any more, or another one has your name. */
    record NotAMember(long term, String reason) implements RaftMessage {}

    /** Somebody asked me what only a leader can answer. */
    record ForwardedRequest(long term, long token, ClientRequest request) implements RaftMessage {}

    /** What became of it. */
    record ForwardedResponse(long term, long token, RequestResult result) implements RaftMessage {}

    /** Balancers that follow me ask for leases. */
    record LeaseRequests(long term, long number, List<LeaseRequest> requests) implements RaftMessage {}

    /** Their leases, good once the receiver has applied the log up to {@code commitIndex}. */
    record LeaseResponses(long term, long number, long commitIndex, List<LeaseResponse> responses)
            implements RaftMessage {}
}
