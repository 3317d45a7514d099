package sedgeyoke.consensus;

/**
 * An entry of the replicated log.
 *
 * @param index its position; the first entry has index 1
 * @param term the term of the leader that appended it
 */
public record LogEntry(long index, long term, Command command) {}
