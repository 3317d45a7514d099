package sedgeyoke.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.drill.DemoRun;
import sedgeyoke.model.InvariantChecker;

/** {@code demo}: runs discovery, nodes, balancers and clients on loopback. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Runs discovery, order nodes, three balancers and their clients on loopback.",
            "Ends with 0, or with 1 and the rule that broke."
        })
final class DemoCommand implements Callable<Integer> {
    private static final int MIN_SECONDS = 3;
    private static final int MAX_SECONDS = 3_600;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(
            names = "--seconds",
            paramLabel = "N",
            defaultValue = "30",
            description = "how long, 3 to 3600; default: ${DEFAULT-VALUE}")
    private int seconds;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
    private long seed;

    @Override
    @SuppressWarnings("SystemConsoleNull") // JDK 17 returns null without a terminal; JDK 22 does not
    public Integer call() throws Exception {
        if (seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seconds must lie from 3 to 3600");
        }
        boolean redraw = System.console() != null;
        InvariantChecker.Summary summary =
                new DemoRun(seconds, seed, redraw, spec.commandLine().getOut()).run();
        return summary.ruleViolations() == 0 ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
    }
}
