package sedgeyoke.consensus;

/** What an entry of the log does once it is committed. */
public sealed interface Command {
    /** Nothing: by it a new leader commits what it found. */
    record NoOp() implements Command {}

    /** The keepers are these, from the moment that the entry is in a log. */
    record ChangeMembership(Membership membership) implements Command {}

    /**
     * A new version, if the newest one is still the one it was made from.
     *
     * @param requestId the writer's own number for it: however often it comes, it is done once
     */
    record Write(
            String requestId,
            long parentVersion,
            String author,
            String reason,
            long createdAtMillis,
            ConfigDocument content)
            implements Command {}

    /** A pending version takes effect: nobody acts on the one before any more but together with it. */
    record Activate(long version) implements Command {}
}
