package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/** The log in memory, behind an entry that a snapshot or nothing stands for. */
final class RaftLog {
    private final List<LogEntry> list;
    private long base;
    private long baseTerm;

    RaftLog(long base, long baseTerm, List<LogEntry> entries) {
        this.base = base;
        this.baseTerm = baseTerm;
        this.list = new ArrayList<>(entries);
    }

    /** The entry before the first. */
    long base() {
        return base;
    }

    long last() {
        return base + list.size();
    }

    long lastTerm() {
        return term(last());
    }

    /** The term of an entry; -1 where it is not known. */
    long term(long index) {
        if (index == base) {
            return baseTerm;
        }
        return index < base || index > last() ? -1 : get(index).term();
    }

    LogEntry get(long index) {
        return list.get((int) (index - base - 1));
    }

    /** Entries from one on, so many at most. */
    List<LogEntry> from(long index, int most) {
        int at = (int) (index - base - 1);
        return at >= list.size() ? List.of() : List.copyOf(list.subList(at, Math.min(list.size(), at + most)));
    }

    void add(LogEntry entry) {
        if (entry.index() != last() + 1) {
            throw new IllegalStateException("entry " + entry.index() + " after " + last());
        }
        list.add(entry);
    }

    void cutBehind(long index) {
        list.subList((int) (index - base), list.size()).clear();
    }

    /** Forgets entries up to one that is covered. */
    void compact(long through) {
        if (through > base) {
            long term = term(through);
            list.subList(0, (int) (through - base)).clear();
            base = through;
            baseTerm = term;
        }
    }

    /** Begins anew behind a snapshot. */
    void restart(long covered, long term) {
        list.clear();
        base = covered;
        baseTerm = term;
    }

    /** The last set of keepers in the log, or null if no entry has one. */
    Membership lastMembers() {
        for (int i = list.size() - 1; i >= 0; i--) {
            if (list.get(i).command() instanceof Command.Change change) {
                return change.members();
            }
        }
        return null;
    }

    /** Whether the log has an activation of a version. */
    boolean activates(long version, long behind) {
        for (long i = Math.max(behind, base) + 1; i <= last(); i++) {
            if (get(i).command() instanceof Command.Activate a && a.version() == version) {
                return true;
            }
        }
        return false;
    }
}
