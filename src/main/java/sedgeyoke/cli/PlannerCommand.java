package sedgeyoke.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import sedgeyoke.plan.remote.PlannerMain;

/** {@code plan}: runs one planner. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Runs one planner until SIGTERM, as [planner] in the operator's file sets it.")
final class PlannerCommand implements Callable<Integer> {
    @Mixin
    private OperatorFileOption config;

    @Override
    public Integer call() throws InterruptedException {
        return PlannerMain.run(config.file());
    }
}
