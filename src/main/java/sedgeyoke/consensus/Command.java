package sedgeyoke.consensus;

/** What a log entry does when it is applied. */
public sealed interface Command {
    /** Returns the result of the method of {@code visitor} for this type of command. */
    <R> R accept(CommandVisitor<R> visitor);

    /** Does nothing. A new leader appends it to commit the entries of earlier terms (Raft thesis, section 3.6.2). */
    record NoOp() implements Command {
        @Override
        public <R> R accept(CommandVisitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Changes the membership; it takes effect as soon as the entry is in a replica's log (section 4.1). */
    record ChangeMembership(Membership membership) implements Command {
        @Override
        public <R> R accept(CommandVisitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /**
     * Creates a new config version if the newest one is still {@code parentVersion}.
     *
     * @param requestId chosen by the client; repeated requests with the same id are applied once
     * @param createdAtMillis wall-clock time of the writer, for display only
     */
    record Write(
            String requestId,
            long parentVersion,
            String author,
            String reason,
            long createdAtMillis,
            ConfigDocument content)
            implements Command {
        @Override
        public <R> R accept(CommandVisitor<R> visitor) {
            return visitor.visit(this);
        }
    }

    /** Makes the pending version the active one. Appended once no balancer acts on the previous version alone. */
    record Activate(long version) implements Command {
        @Override
        public <R> R accept(CommandVisitor<R> visitor) {
            return visitor.visit(this);
        }
    }
}
