package sedgeyoke.agree;

/**
 * A state and the entry up to which it is one.
 *
 * @param covered the index of that entry
 * @param term its term
 * @param state what the log up to there says
 */
public record SnapshotState(long covered, long term, Registry.State state) {}
