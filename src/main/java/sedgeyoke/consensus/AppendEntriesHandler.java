package sedgeyoke.consensus;

/** The follower's side of log replication: the consistency check and the append (Raft thesis, section 3.5). */
final class AppendEntriesHandler {
    private final ReplicaState state;
    private final PersistenceQueue persistence;
    private final RoleTransitions roles;

    AppendEntriesHandler(ReplicaState state, PersistenceQueue persistence, RoleTransitions roles) {
        this.state = state;
        this.persistence = persistence;
        this.roles = roles;
    }

    /**
     * Appends the entries that the log lacks and responds.
     *
     * @throws IllegalStateException if a committed entry would be replaced, which means that an invariant is violated
     */
    void handle(String from, RaftMessage.AppendEntries request) {
        if (request.term() < state.term) {
            persistence.sendWhenPersisted(
                    from,
                    new RaftMessage.AppendEntriesResponse(
                            state.term, false, state.log.lastIndex(), 0, state.incarnation(), false));
            return;
        }
        roles.recordLeaderContact(from);
        if (request.prevIndex() < state.log.baseIndex()) { // compacted entries are committed, so all logs agree
            respond(from, request, true, state.log.baseIndex());
        } else if (state.log.term(request.prevIndex()) != request.prevTerm()) {
            respond(from, request, false, retryIndex(request));
        } else {
            append(request);
            respond(from, request, true, state.leaderMatchIndex);
        }
    }

    private void respond(String to, RaftMessage.AppendEntries request, boolean success, long matchIndex) {
        persistence.sendWhenPersisted(
                to,
                new RaftMessage.AppendEntriesResponse(
                        state.term,
                        success,
                        matchIndex,
                        request.round(),
                        state.incarnation(),
                        state.recovery.isRecovered()));
    }

    /** The entry after which the leader should retry: before all entries of the conflicting term. */
    private long retryIndex(RaftMessage.AppendEntries request) {
        RaftLog log = state.log;
        long conflictingTerm = log.term(request.prevIndex());
        long index = Math.min(log.lastIndex(), request.prevIndex() - 1);
        while (conflictingTerm >= 0
                && index > log.baseIndex()
                && index > state.commitIndex
                && log.term(index) == conflictingTerm) {
            index--;
        }
        return index;
    }

    private void append(RaftMessage.AppendEntries request) {
        boolean changed = false;
        for (LogEntry entry : request.entries()) {
            if (state.log.term(entry.index()) != entry.term()) {
                removeFrom(entry.index());
                state.log.append(entry);
                persistence.append(entry);
                changed = true;
            }
        }
        if (changed) {
            state.updateMembership();
        }
        state.leaderMatchIndex = request.prevIndex() + request.entries().size();
        state.commitIndex = Math.max(state.commitIndex, Math.min(request.leaderCommit(), state.leaderMatchIndex));
    }

    private void removeFrom(long index) {
        if (index > state.log.lastIndex()) {
            return;
        }
        if (index <= state.commitIndex) {
            throw new IllegalStateException("committed entry " + index + " conflicts with the leader's log");
        }
        state.log.truncateAfter(index - 1);
        persistence.truncateAfter(index - 1);
    }
}
