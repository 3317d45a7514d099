package sedgeyoke.settings;

import java.util.List;
import java.util.stream.Collectors;

/** An operator's file that cannot be used. It has all problems of the file, not just the first. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1L;
    /** A file of another kind may have a problem in every line; the message lists no more than that. */
    private static final int MAX_LINES = 20;

    private final transient List<ConfigProblem> problems;

    /** An exception with at least one problem. */
    InvalidOperatorFileException(List<ConfigProblem> problems) {
        super(text(problems));
        this.problems = List.copyOf(problems);
    }

    private static String text(List<ConfigProblem> problems) {
        String shown =
                problems.stream().limit(MAX_LINES).map(ConfigProblem::toString).collect(Collectors.joining("\n"));
        int more = problems.size() - MAX_LINES;
        return more > 0 ? shown + "\n(" + more + " further problems)" : shown;
    }

    /** All problems, in the order of the file's lines. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
