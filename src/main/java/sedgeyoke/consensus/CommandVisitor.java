package sedgeyoke.consensus;

/**
 * A visitor with one method for each type of {@link Command}.
 *
 * @param <R> the type of the results
 */
public interface CommandVisitor<R> {
    /** Visits a no-op. */
    R visit(Command.NoOp noOp);

    /** Visits a membership change. */
    R visit(Command.ChangeMembership change);

    /** Visits the write of a config version. */
    R visit(Command.Write write);

    /** Visits the activation of a config version. */
    R visit(Command.Activate activate);
}
