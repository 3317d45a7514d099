package sedgeyoke.consensus;

import java.util.List;

/** What keepers say to one another. Every message may be lost, late, doubled or out of order. */
public sealed interface RaftMessage {
    /** The sender's term. */
    long term();

    /** Would you vote for me in the term after yours, if I asked? Changes nothing at whoever is asked. */
    record PreVote(long term, long lastIndex, long lastTerm) implements RaftMessage {}

    /** The answer; {@code sound} as for votes. */
    record PreVoted(long term, boolean granted, boolean sound) implements RaftMessage {}

    /** Vote for me in this term. {@code handedOver}: the leader wants it; being content with it is no reason. */
    record Vote(long term, long lastIndex, long lastTerm, boolean handedOver) implements RaftMessage {}

    /** The answer. {@code sound}: whoever votes has lost nothing of what it ever promised. */
    record Voted(long term, boolean granted, boolean sound) implements RaftMessage {}

    /**
     * Entries behind one that both sides have; none as a heartbeat.
     *
     * @param round counts the leader's rounds; its echo proves that the leader still led when the round began
     */
    record Append(long term, long prevIndex, long prevTerm, List<LogEntry> entries, long commit, long round)
            implements RaftMessage {}

    /**
     * The answer, once all that it promises is on disk.
     *
     * @param matched the log is the leader's up to here; where {@code ok} is false, where to try next
     * @param run the sender's run: what an earlier one had may be gone
     * @param sound whether it counts
     */
    record Appended(long term, boolean ok, long matched, long round, long run, boolean sound) implements RaftMessage {}

    /** A part of a snapshot. */
    record Piece(long term, long covered, long coveredTerm, long offset, long size, byte[] bytes, long round)
            implements RaftMessage {}

    /** How much of it is there. */
    record PieceTaken(long term, long covered, long next, long round) implements RaftMessage {}

    /** Stand for election now: the leader wants to go. */
    record StandNow(long term) implements RaftMessage {}

    /**
     * I have just started, and want to know what you know of me and of the tier.
     *
     * @param runs the sender's runs, the present one first, as far as its disk remembers
     * @param number of this question, by the sender
     */
    record Recall(long term, List<Long> runs, long number) implements RaftMessage {}

    /**
     * The answer.
     *
     * @param past you had a run that your disk knows nothing of
     * @param sound whether I have lost nothing myself
     * @param lost whether I surely have
     * @param leads whether I lead
     * @param lastIndex of my log
     * @param knownRun the run of yours that I knew before
     */
    record Recalled(
            long term,
            long number,
            boolean past,
            boolean sound,
            boolean lost,
            boolean leads,
            long lastIndex,
            long knownRun)
            implements RaftMessage {}

    /** You are no keeper any more, or another one has your name. */
    record NotAMember(long term, String why) implements RaftMessage {}

    /** Somebody asked me what only a leader can answer. */
    record Forward(long term, long token, ClientRequest request) implements RaftMessage {}

    /** What became of it. */
    record Forwarded(long term, long token, RequestResult outcome) implements RaftMessage {}

    /** Balancers that follow me ask for leases. */
    record Asks(long term, long number, List<LeaseRequest> asks) implements RaftMessage {}

    /** Their leases, good once the receiver has applied the log up to {@code commit}. */
    record Grants(long term, long number, long commit, List<LeaseResponse> grants) implements RaftMessage {}
}
