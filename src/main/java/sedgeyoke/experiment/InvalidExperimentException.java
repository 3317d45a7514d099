package sedgeyoke.experiment;

import java.util.List;
import sedgeyoke.settings.ConfigProblem;

/** An experiment's file that cannot be played; the message has all that is wrong with it, a line each. */
public final class InvalidExperimentException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int MOST_LINES = 20;

    InvalidExperimentException(List<ConfigProblem> problems) {
        super(String.join(
                "\n",
                problems.stream().limit(MOST_LINES).map(ConfigProblem::toString).toList()));
    }
}
