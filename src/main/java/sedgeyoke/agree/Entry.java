package sedgeyoke.agree;

/** An entry of the log: where it stands, and in which term a leader put it there. */
public record Entry(long index, long term, Command command) {}
