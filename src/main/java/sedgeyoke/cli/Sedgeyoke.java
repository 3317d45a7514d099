package sedgeyoke.cli;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The command {@code sedgeyoke}; without a subcommand it prints its usage. */
@Command(
        name = "sedgeyoke",
        mixinStandardHelpOptions = true,
        versionProvider = Sedgeyoke.Version.class,
        description = "A load balancer whose decisions follow reported utilisation.",
        subcommands = {
            ServeCommand.class,
            PlannerCommand.class,
            ConfigServerCommand.class,
            SettingsCommand.class,
            ConfigServersCommand.class,
            CheckCommand.class,
            DemoCommand.class,
            DrillCommand.class,
            ExperimentCommand.class,
            WorstCaseSearchCommand.class
        },
        footer = {"", "Exit codes: 0 done, 1 a rule was broken or a check failed, 2 invalid usage or file."})
public final class Sedgeyoke implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(writer(System.out), writer(System.err), args));
    }

    /** Returns an auto-flushing writer with the default charset. */
    static PrintWriter writer(PrintStream stream) {
        return new PrintWriter(stream, true, Charset.defaultCharset());
    }

    /** Runs a command, given by its current or deprecated name, and returns its exit code. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Sedgeyoke())
                .setCaseInsensitiveEnumValuesAllowed(true)
                .setOut(out)
                .setErr(err)
                .execute(DeprecatedNames.replace(args, err));
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return CommandLine.ExitCode.USAGE;
    }

    /** The version that the build wrote into the jar. */
    static final class Version implements IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Sedgeyoke.class.getPackage().getImplementationVersion();
            return new String[] {
                "sedgeyoke " + (version == null ? "(not from a jar)" : version) + ", Java " + Runtime.version()
            };
        }
    }
}
