package sedgeyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;

/** {@code check}: whether an operator's file is in order, with all that is wrong in it. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Reads an operator's file as a start would, and says all that is wrong with it.")
final class CheckCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Parameters(paramLabel = "FILE", arity = "0..1", description = "the file, such as deploy/operator.toml")
    private Path file;

    @Option(names = "--keys", description = "lists all keys with type, default and what a change needs")
    private boolean keys;

    @Override
    public Integer call() {
        var out = spec.commandLine().getOut();
        if (keys) {
            OperatorFile.table().forEach(out::println);
        }
        if (file == null) {
            if (!keys) {
                spec.commandLine().getErr().println("check: FILE or --keys is needed");
            }
            return keys ? 0 : CommandLine.ExitCode.USAGE;
        }
        try {
            OperatorFile read = OperatorFile.load(file);
            out.println(file + ": in order; plans " + (read.plans().enabled() ? "on" : "off") + ", bodies "
                    + (read.bodies().streaming() ? "on" : "off") + ", config "
                    + (read.config().enabled() ? "on" : "off") + ", config server "
                    + (read.configServer().enabled() ? "on" : "off") + ", planner "
                    + (read.planner().enabled() ? "on" : "off"));
            return 0;
        } catch (InvalidOperatorFileException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 1;
        }
    }
}
