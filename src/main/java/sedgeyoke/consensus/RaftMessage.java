package sedgeyoke.consensus;

import java.util.List;

/**
 * The messages between replicas. Any of them may be lost, delayed, duplicated or reordered.
 * {@code consensus.codec.RaftMessageCodec} defines their wire format.
 */
public sealed interface RaftMessage {
    /** The sender's current term. */
    long term();

    /** Calls the method of {@code handler} for this type of message. */
    void deliver(String from, RaftMessageHandler handler);

    /**
     * Asks whether the receiver would vote for the sender in the next term (Raft thesis, section 9.6). Changes no state
     * at the receiver.
     */
    record RequestPreVote(long term, long lastIndex, long lastTerm) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** The response to {@link RequestPreVote}; {@code recovered} as in {@link VoteResponse}. */
    record PreVoteResponse(long term, boolean granted, boolean recovered) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * Asks for a vote in the sender's term (Raft thesis, section 3.4).
     *
     * @param leadershipTransfer whether the leader initiated this election; if so, the receiver may vote although it
     *     still hears from that leader
     */
    record RequestVote(long term, long lastIndex, long lastTerm, boolean leadershipTransfer) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** The response to {@link RequestVote}. {@code recovered}: the voter has all that it ever acknowledged. */
    record VoteResponse(long term, boolean granted, boolean recovered) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * Log entries that follow the entry {@code prevIndex}; a message without entries is a heartbeat (Raft thesis,
     * section 3.5).
     *
     * @param round the leader's heartbeat round; a majority of echoes shows that the sender led when the round began
     */
    record AppendEntries(
            long term, long prevIndex, long prevTerm, List<LogEntry> entries, long leaderCommit, long round)
            implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * The response to {@link AppendEntries}, sent once everything that it acknowledges is on disk.
     *
     * @param matchIndex the last entry up to which the log matches the leader's; after a failure, the entry after which
     *     the leader should retry
     * @param incarnation the sender's incarnation; entries that an earlier one acknowledged may be lost
     * @param recovered whether the sender counts towards a quorum
     */
    record AppendEntriesResponse(
            long term, boolean success, long matchIndex, long round, long incarnation, boolean recovered)
            implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** One chunk of an encoded snapshot: the bytes from {@code offset} on (Raft thesis, section 5.3). */
    record InstallSnapshotChunk(
            long term,
            long lastIncludedIndex,
            long lastIncludedTerm,
            long offset,
            long totalSize,
            byte[] data,
            long round)
            implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** Acknowledges all bytes of a snapshot before {@code nextOffset}. */
    record SnapshotChunkAck(long term, long lastIncludedIndex, long nextOffset, long round) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** Tells the receiver to start an election at once, to transfer leadership to it (Raft thesis, section 3.10). */
    record TimeoutNow(long term) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * Asks what the receiver knows about the sender, which has started, and about the cluster.
     *
     * @param incarnations the sender's incarnations, the current one first, as far as its disk has them
     * @param queryId identifies the query; the reply echoes it
     */
    record RecoveryQuery(long term, List<Long> incarnations, long queryId) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * The response to {@link RecoveryQuery}.
     *
     * @param outdated whether the querying replica once had an incarnation, or a term, that its disk does not have
     * @param recovered whether the sender has all that it ever acknowledged
     * @param dataLost whether the sender has certainly lost something that it acknowledged
     * @param isLeader whether the sender is the leader
     * @param lastIndex the last index of the sender's log
     * @param knownIncarnation the incarnation of the querying replica that the sender knew before; 0 if none
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
            implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** The receiver is not a member, or not the member with its name; {@code reason} completes "this replica ...". */
    record NotAMember(long term, String reason) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** A client's request that the sender forwards to the leader; {@code token} identifies it at the sender. */
    record ForwardedRequest(long term, long token, ClientRequest request) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /** The result of a {@link ForwardedRequest}. */
    record ForwardedResponse(long term, long token, RequestResult result) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * Lease requests of balancers that are connected to the sender.
     *
     * @param number echoed in the response; not used otherwise
     */
    record LeaseRequests(long term, long number, List<LeaseRequest> requests) implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }

    /**
     * The responses to {@link LeaseRequests}. The receiver may pass them on once it has applied the log up to
     * {@code commitIndex}.
     */
    record LeaseResponses(long term, long number, long commitIndex, List<LeaseResponse> responses)
            implements RaftMessage {
        @Override
        public void deliver(String from, RaftMessageHandler handler) {
            handler.handle(from, this);
        }
    }
}
