package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * Collects the changes that have to be written to disk, and holds back messages until the changes that they acknowledge
 * are on disk. A replica must not acknowledge a vote or an entry that a crash could undo.
 */
final class PersistenceQueue {
    private static final long NONE = -1;

    private final ReplicaState state;
    private final Outbox outbox;

    /** Messages of the current event that acknowledge state that may not be on disk yet. */
    private final List<Action.Send> unsent = new ArrayList<>();
    /** Messages of earlier events, by the token of the write that they wait for. */
    private final TreeMap<Long, List<Action.Send>> waiting = new TreeMap<>();
    /** Writes in progress, by token. */
    private final TreeMap<Long, Write> writes = new TreeMap<>();

    private final List<LogEntry> appended = new ArrayList<>();
    private boolean hardStateChanged;
    private long restartLogAfter = NONE;
    private long truncateAfter = NONE;
    private Snapshot snapshot;

    private long lastToken;
    private long lastHardStateToken;
    private long durableIndex;

    /** A write in progress. Once it is done, the log is on disk up to {@code lastIndex}. */
    private record Write(long startedAtMicros, long lastIndex) {
        Write truncatedAfter(long index) {
            return new Write(startedAtMicros, Math.min(lastIndex, index));
        }
    }

    PersistenceQueue(ReplicaState state, Outbox outbox) {
        this.state = state;
        this.outbox = outbox;
        this.durableIndex = state.log.lastIndex();
    }

    /** The index up to which the log is on disk. */
    long durableIndex() {
        return durableIndex;
    }

    /** Called when the hard state has changed: the next write includes it. */
    void hardStateChanged() {
        hardStateChanged = true;
    }

    /** Called when an entry was appended to the log: the next write includes it. */
    void append(LogEntry entry) {
        appended.add(entry);
    }

    /** Called when there is a new snapshot: the next write includes it. */
    void save(Snapshot replaced) {
        snapshot = replaced;
    }

    /** Called when the entries after this index were removed from the log: the next write removes them on disk. */
    void truncateAfter(long index) {
        truncateAfter = truncateAfter == NONE ? index : Math.min(truncateAfter, index);
        durableIndex = Math.min(durableIndex, index);
        writes.replaceAll((token, write) -> write.truncatedAfter(index));
        appended.removeIf(entry -> entry.index() > index);
    }

    /** Makes the next write replace the stored log with the entries of the log in memory after this index. */
    void restartLogAfter(long index) {
        restartLogAfter = index;
        truncateAfter = NONE;
        appended.clear();
        appended.addAll(state.log.entriesFrom(index + 1, Integer.MAX_VALUE));
    }

    /** Sends a message as soon as the state that this replica has at the end of the current event is on disk. */
    void sendWhenPersisted(String to, RaftMessage message) {
        unsent.add(new Action.Send(to, message));
    }

    /** Called when the write with this token is done, and with it all earlier ones. */
    void persisted(long token) {
        while (!writes.isEmpty() && writes.firstKey() <= token) {
            durableIndex = writes.pollFirstEntry().getValue().lastIndex();
        }
        while (!waiting.isEmpty() && waiting.firstKey() <= token) {
            outbox.addAll(waiting.pollFirstEntry().getValue());
        }
    }

    /** Whether the current hard state is on disk. */
    boolean isHardStatePersisted() {
        return !hardStateChanged && (writes.isEmpty() || writes.firstKey() > lastHardStateToken);
    }

    /** Whether a write has been in progress for longer than an election timeout. */
    boolean isStalled() {
        return !writes.isEmpty()
                && state.nowMicros - writes.firstEntry().getValue().startedAtMicros()
                        > state.timing.electionTimeoutMicros();
    }

    /** Called at the end of each event: starts a write if there are changes, and sends or holds back messages. */
    void flush() {
        if (hasChanges()) {
            startWrite();
        }
        if (unsent.isEmpty()) {
            return;
        }
        if (writes.isEmpty() || !state.rules.responsesWaitForPersistence()) {
            outbox.addAll(unsent);
        } else {
            waiting.computeIfAbsent(writes.lastKey(), token -> new ArrayList<>())
                    .addAll(unsent);
        }
        unsent.clear();
    }

    private boolean hasChanges() {
        return hardStateChanged
                || restartLogAfter != NONE
                || snapshot != null
                || truncateAfter != NONE
                || !appended.isEmpty();
    }

    private void startWrite() {
        lastToken++;
        outbox.add(new Action.Persist(
                lastToken,
                hardStateChanged ? hardState() : null,
                snapshot,
                restartLogAfter,
                truncateAfter,
                List.copyOf(appended)));
        writes.put(lastToken, new Write(state.nowMicros, state.log.lastIndex()));
        if (hardStateChanged) {
            lastHardStateToken = lastToken;
        }
        hardStateChanged = false;
        restartLogAfter = NONE;
        snapshot = null;
        truncateAfter = NONE;
        appended.clear();
    }

    private HardState hardState() {
        return new HardState(
                state.term,
                state.votedFor,
                List.copyOf(state.incarnations),
                new TreeMap<>(state.knownPeers),
                state.recovery.suspectedLoss() == null);
    }
}
