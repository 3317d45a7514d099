package sedgeyoke.consensus;

/**
 * The state of the state machine after it has applied a prefix of the log.
 *
 * @param lastIncludedIndex the index of the last entry of that prefix
 * @param lastIncludedTerm the term of that entry
 */
public record Snapshot(long lastIncludedIndex, long lastIncludedTerm, ConfigStateMachine.State state) {}
