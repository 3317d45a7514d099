package sedgeyoke.experiment;

import java.util.List;
import sedgeyoke.operator.Problem;

/** An experiment's file that cannot be played; the message has all that is wrong with it, a line each. */
public final class BadExperiment extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int MOST_LINES = 20;

    BadExperiment(List<Problem> problems) {
        super(String.join(
                "\n", problems.stream().limit(MOST_LINES).map(Problem::toString).toList()));
    }
}
