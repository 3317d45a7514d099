package sedgeyoke.consensus;

/** An entry of the log: where it stands, and in which term a leader put it there. */
public record LogEntry(long index, long term, Command command) {}
