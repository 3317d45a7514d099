package sedgeyoke.settings;

import java.util.List;
import java.util.stream.Collectors;

/** An operator's file that cannot be used. It carries all that is wrong with it, not just the first. */
public final class InvalidOperatorFileException extends Exception {
    private static final long serialVersionUID = 1L;
    /** A file of another kind may be wrong in every line; nobody reads more than that. */
    private static final int MOST_LINES = 20;

    private final transient List<ConfigProblem> problems;

    InvalidOperatorFileException(List<ConfigProblem> problems) {
        super(text(problems));
        this.problems = List.copyOf(problems);
    }

    private static String text(List<ConfigProblem> problems) {
        String shown =
                problems.stream().limit(MOST_LINES).map(ConfigProblem::toString).collect(Collectors.joining("\n"));
        int more = problems.size() - MOST_LINES;
        return more > 0 ? shown + "\n(" + more + " further problems)" : shown;
    }

    /** What is wrong, in the order of the file's lines. */
    public List<ConfigProblem> problems() {
        return problems;
    }
}
