package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/** The log in memory, behind an entry that a snapshot or nothing stands for. */
final class RaftLog {
    private final List<LogEntry> entries;
    private long baseIndex;
    private long baseTerm;

    RaftLog(long base, long baseTerm, List<LogEntry> entries) {
        this.baseIndex = base;
        this.baseTerm = baseTerm;
        this.entries = new ArrayList<>(entries);
    }

    /** The entry before the first. */
    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return term(lastIndex());
    }

    /** The term of an entry; -1 where it is not known. */
    long term(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex() ? -1 : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Entries from one on, so many at most. */
    List<LogEntry> entriesFrom(long index, int maxEntries) {
        int at = (int) (index - baseIndex - 1);
        return at >= entries.size()
                ? List.of()
                : List.copyOf(entries.subList(at, Math.min(entries.size(), at + maxEntries)));
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("entry " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
    }

    void truncateAfter(long index) {
        entries.subList((int) (index - baseIndex), entries.size()).clear();
    }

    /** Forgets entries up to one that is covered. */
    void compactThrough(long through) {
        if (through > baseIndex) {
            long term = term(through);
            entries.subList(0, (int) (through - baseIndex)).clear();
            baseIndex = through;
            baseTerm = term;
        }
    }

    /** Begins anew behind a snapshot. */
    void resetTo(long index, long term) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
    }

    /** The last set of keepers in the log, or null if no entry has one. */
    Membership lastMembership() {
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).command() instanceof Command.ChangeMembership change) {
                return change.membership();
            }
        }
        return null;
    }

    /** Whether the log has an activation of a version. */
    boolean containsActivation(long version, long afterIndex) {
        for (long i = Math.max(afterIndex, baseIndex) + 1; i <= lastIndex(); i++) {
            if (get(i).command() instanceof Command.Activate a && a.version() == version) {
                return true;
            }
        }
        return false;
    }
}
