package sedgeyoke.experiment;

import java.util.List;
import sedgeyoke.settings.ConfigProblem;

/** Thrown if an experiment file or its stored runs are invalid; carries all problems, each with file and line. */
public final class InvalidExperimentException extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int MAX_LINES = 20;

    private final transient List<ConfigProblem> problems;

    InvalidExperimentException(List<ConfigProblem> problems) {
        super(String.join(
                "\n",
                problems.stream().limit(MAX_LINES).map(ConfigProblem::toString).toList()));
        this.problems = List.copyOf(problems);
    }

    /** All problems, in the order in which they were found. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
