package sedgeyoke.consensus;

/**
 * A state and the entry up to which it is one.
 *
 * @param lastIncludedIndex the index of that entry
 * @param lastIncludedTerm its term
 * @param state what the log up to there says
 */
public record Snapshot(long lastIncludedIndex, long lastIncludedTerm, ConfigStateMachine.State state) {}
