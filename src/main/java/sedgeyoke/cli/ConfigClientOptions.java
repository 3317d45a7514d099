package sedgeyoke.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Option;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.settings.ClientSettings;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;

/** What all commands that ask the keepers have in common: how they reach them, and what their exit codes say. */
final class ConfigClientOptions {
    static final int REFUSED = 1;
    static final int UNKNOWN = 3;
    static final int NO_QUORUM = 4;
    static final String EXIT_CODES = "Exit codes: 0 done, 1 refused, 2 wrong usage or a bad file, 3 outcome unknown"
            + " (ask again with --request), 4 no majority of keepers.";

    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "file with [operator]; else SEDGEYOKE_OPERATOR",
            defaultValue = "${env:SEDGEYOKE_OPERATOR}")
    Path config;

    @Option(
            names = "--timeout",
            paramLabel = "S",
            defaultValue = "10",
            description = "how long an answer is waited for, in seconds; default: ${DEFAULT-VALUE}")
    int timeout;

    @Option(names = "--json", description = "one JSON object")
    boolean json;

    /** What a command does once it has a way to the keepers. */
    interface Work {
        int with(ConfigClient client, ClientSettings settings) throws InterruptedException, IOException;
    }

    int run(CommandLine.Model.CommandSpec spec, Work work) throws InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        if (config == null) {
            err.println("no operator's file: --config or SEDGEYOKE_OPERATOR must name one");
            return CommandLine.ExitCode.USAGE;
        }
        try {
            ClientSettings settings = OperatorFile.load(config).operator();
            try (ConfigClient client = new ConfigClient(settings.servers(), settings.name(), settings.tls())) {
                return work.with(client, settings);
            }
        } catch (InvalidOperatorFileException | IOException e) {
            err.println(e.getMessage());
            return CommandLine.ExitCode.USAGE;
        }
    }

    long withinMs() {
        return 1_000L * timeout;
    }

    static int code(RequestResult outcome) {
        return switch (outcome.kind()) {
            case DONE -> 0;
            case CONFLICT, REFUSED -> REFUSED;
            case UNKNOWN -> UNKNOWN;
            default -> NO_QUORUM;
        };
    }
}
