package sedgeyoke.consensus;

/**
 * One method for each type of {@link Command}.
 *
 * @param <R> the type of the results
 */
public interface CommandVisitor<R> {
    /** Visits the command that does nothing. */
    R visit(Command.NoOp noOp);

    /** Visits a membership change. */
    R visit(Command.ChangeMembership change);

    /** Visits the write of a config version. */
    R visit(Command.Write write);

    /** Visits the activation of a config version. */
    R visit(Command.Activate activate);
}
