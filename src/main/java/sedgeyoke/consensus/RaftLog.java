package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/** The log in memory. Entries up to its base index have been removed, as a snapshot covers them. */
final class RaftLog {
    /** Returned as the term of an entry that the log does not have. */
    static final long UNKNOWN_TERM = -1;

    private final List<LogEntry> entries;
    private long baseIndex;
    private long baseTerm;

    /** Creates a log of entries that follow the entry {@code baseIndex}, which has the term {@code baseTerm}. */
    RaftLog(long baseIndex, long baseTerm, List<LogEntry> entries) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        this.entries = new ArrayList<>(entries);
    }

    /** The index of the entry before the first one of this log. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** The term of the entry with this index, or {@link #UNKNOWN_TERM}. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex()
                ? UNKNOWN_TERM
                : get(index).term();
    }

    /** The entry with this index, which has to be in this log. */
    LogEntry get(long index) {
        return entries.get(position(index));
    }

    private int position(long index) {
        return (int) (index - baseIndex - 1);
    }

    /** The entries from {@code index} on, but at most {@code maxEntries}. */
    List<LogEntry> entriesFrom(long index, int maxEntries) {
        int from = position(index);
        return from >= entries.size()
                ? List.of()
                : List.copyOf(entries.subList(from, Math.min(entries.size(), from + maxEntries)));
    }

    /**
     * Appends an entry.
     *
     * @throws IllegalStateException if it does not follow the last one
     */
    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("entry " + entry.index() + " cannot follow entry " + lastIndex());
        }
        entries.add(entry);
    }

    /** Removes all entries after {@code index}. */
    void truncateAfter(long index) {
        entries.subList(position(index) + 1, entries.size()).clear();
    }

    /** Removes all entries up to and including {@code index}. A snapshot has to cover them. */
    void compactThrough(long index) {
        if (index > baseIndex) {
            long term = term(index);
            entries.subList(0, position(index) + 1).clear();
            baseIndex = index;
            baseTerm = term;
        }
    }

    /** Removes all entries. The log then follows a snapshot whose last entry has this index and term. */
    void resetTo(long index, long term) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
    }

    /** The latest membership in the log; null if no entry changes the membership. */
    Membership lastMembership() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).command() instanceof Command.ChangeMembership change) {
                return change.membership();
            }
        }
        return null;
    }

    /** Whether the log has an activation of {@code version} after the entry {@code afterIndex}. */
    boolean containsActivation(long version, long afterIndex) {
        for (long index = Math.max(afterIndex, baseIndex) + 1; index <= lastIndex(); index++) {
            if (get(index).command() instanceof Command.Activate activate && activate.version() == version) {
                return true;
            }
        }
        return false;
    }
}
