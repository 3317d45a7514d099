package sedgeyoke.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;

/** {@code check}: validates an operator's file and prints every problem in it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Validates an operator's file and prints every problem in it.")
final class CheckCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "the file, such as deploy/operator.toml")
    private Path file;

    @Option(names = "--keys", description = "lists all keys with type, default, and SIGHUP or restart for a change")
    private boolean keys;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        if (file == null && !keys) {
            err.println("check: FILE or --keys is needed");
            return CommandLine.ExitCode.USAGE;
        }
        if (keys) {
            OperatorFile.table().forEach(out::println);
        }
        if (file == null) {
            return CommandLine.ExitCode.OK;
        }
        try {
            out.println(file + ": valid; " + features(OperatorFile.load(file)));
            return CommandLine.ExitCode.OK;
        } catch (InvalidOperatorFileException e) {
            err.println(e.getMessage());
            return CommandLine.ExitCode.SOFTWARE;
        }
    }

    private static String features(OperatorFile operatorFile) {
        return "plans " + onOrOff(operatorFile.plans().enabled())
                + ", bodies " + onOrOff(operatorFile.bodies().streaming())
                + ", config " + onOrOff(operatorFile.config().enabled())
                + ", config server " + onOrOff(operatorFile.configServer().enabled())
                + ", planner " + onOrOff(operatorFile.planner().enabled());
    }

    private static String onOrOff(boolean enabled) {
        return enabled ? "on" : "off";
    }
}
