package sedgeyoke.consensus;

/**
 * A state and the entry up to which it is one.
 *
 * @param covered the index of that entry
 * @param term its term
 * @param state what the log up to there says
 */
public record Snapshot(long covered, long term, ConfigStateMachine.State state) {}
