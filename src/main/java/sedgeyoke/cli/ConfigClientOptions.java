package sedgeyoke.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.settings.ClientSettings;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;

/** Options and exit codes of the commands that send requests to the config servers. */
final class ConfigClientOptions {
    static final int EXIT_REJECTED = 1;
    static final int EXIT_UNKNOWN = 3;
    static final int EXIT_NO_QUORUM = 4;
    static final String EXIT_CODES = "Exit codes: 0 done, 1 rejected, 2 invalid usage or file, 3 outcome unknown"
            + " (retry with --request), 4 no quorum of config servers.";

    @Mixin
    private OperatorFileOption config;

    @Option(
            names = "--timeout",
            paramLabel = "S",
            defaultValue = "10",
            description = "time to wait for a response, in seconds; default: ${DEFAULT-VALUE}")
    private int timeoutSeconds;

    @Option(names = "--json", description = "prints JSON")
    private boolean json;

    /** What a command does with a client of the config servers. */
    interface Work {
        /** Returns the command's exit code. */
        int run(ConfigClient client, ClientSettings settings) throws InterruptedException, IOException;
    }

    /** Runs the work with a client configured by the operator's file; an invalid file is a usage error. */
    int run(CommandSpec command, Work work) throws InterruptedException {
        PrintWriter err = command.commandLine().getErr();
        if (config.file() == null) {
            err.println("no operator's file: --config or SEDGEYOKE_OPERATOR must name one");
            return CommandLine.ExitCode.USAGE;
        }
        try {
            ClientSettings settings = OperatorFile.load(config.file()).operator();
            try (ConfigClient client = new ConfigClient(settings.servers(), settings.name(), settings.tls())) {
                return work.run(client, settings);
            }
        } catch (InvalidOperatorFileException | IOException e) {
            err.println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
    }

    boolean json() {
        return json;
    }

    long timeoutMs() {
        return TimeUnit.SECONDS.toMillis(timeoutSeconds);
    }

    /** Returns the exit code for the result of a request. */
    static int exitCode(RequestResult result) {
        return switch (result.kind()) {
            case DONE -> CommandLine.ExitCode.OK;
            case CONFLICT, REFUSED -> EXIT_REJECTED;
            case UNKNOWN -> EXIT_UNKNOWN;
            case BUSY, NO_LEADER -> EXIT_NO_QUORUM;
        };
    }

    /** Returns the kind of the result as it is printed. Scripts parse these words, so they must not change. */
    static String kindName(RequestResult result) {
        return switch (result.kind()) {
            case DONE -> "done";
            case CONFLICT -> "conflict";
            case REFUSED -> "refused";
            case BUSY -> "busy";
            case UNKNOWN -> "unknown";
            case NO_LEADER -> "no_leader";
        };
    }
}
