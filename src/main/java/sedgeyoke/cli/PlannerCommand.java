package sedgeyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.plan.remote.PlannerMain;

/** {@code plan}: one planner. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Runs one planner until SIGTERM, as [planner] in the operator's file sets it.")
final class PlannerCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "operator's file; default: SEDGEYOKE_OPERATOR",
            defaultValue = "${env:SEDGEYOKE_OPERATOR}")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
        return PlannerMain.run(config);
    }
}
