package sedgeyoke.settings;

import java.util.List;
import java.util.stream.Collectors;

/** An operator's file is invalid. Lists all problems in the file, not only the first. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1L;
    /** Most problems listed in the message, as a file that is not an operator's file may have one on every line. */
    private static final int MAX_LISTED_PROBLEMS = 20;

    private final transient List<ConfigProblem> problems;

    /** Creates an exception for a list of at least one problem. */
    InvalidOperatorFileException(List<ConfigProblem> problems) {
        super(message(problems));
        this.problems = List.copyOf(problems);
    }

    private static String message(List<ConfigProblem> problems) {
        String listed = problems.stream()
                .limit(MAX_LISTED_PROBLEMS)
                .map(ConfigProblem::toString)
                .collect(Collectors.joining("\n"));
        int omitted = problems.size() - MAX_LISTED_PROBLEMS;
        return omitted > 0 ? listed + "\n(" + omitted + " further problems)" : listed;
    }

    /** Returns all problems, in the order of their lines. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
