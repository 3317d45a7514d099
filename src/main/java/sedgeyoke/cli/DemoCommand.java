package sedgeyoke.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.drill.DemoRun;

/** {@code demo}: the whole thing on loopback. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = {
            "Plays discovery, order nodes, three balancers and their clients on loopback.",
            "Ends with 0, or with 1 and the rule that broke."
        })
final class DemoCommand implements Callable<Integer> {
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
    public Integer call() throws Exception {
        if (seconds < 3 || seconds > 3_600) {
            throw new CommandLine.ParameterException(spec.commandLine(), "--seconds must lie from 3 to 3600");
        }
        boolean live = System.console() != null;
        return new DemoRun(seconds, seed, live, spec.commandLine().getOut())
                                .run()
                                .ruleViolations()
                        == 0
                ? 0
                : 1;
    }
}
