package sedgeyoke.consensus;

/**
 * The state of the state machine after a prefix of the log.
 *
 * @param lastIncludedIndex the last entry of that prefix
 * @param lastIncludedTerm the term of that entry
 */
public record Snapshot(long lastIncludedIndex, long lastIncludedTerm, ConfigStateMachine.State state) {}
