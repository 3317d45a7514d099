package sedgeyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.consensus.server.ConfigServerMain;

/** {@code keep}: one keeper. */
@Command(
        name = "keep",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one keeper until SIGTERM, as [config_server] in the operator's file sets it.",
            "Ends with 2 if it cannot start, and with 3 if its disk has failed."
        })
final class ConfigServerCommand implements Callable<Integer> {
    @Option(
            names = "--config",
            paramLabel = "FILE",
            description = "operator's file; default: SEDGEYOKE_OPERATOR",
            defaultValue = "${env:SEDGEYOKE_OPERATOR}")
    private Path config;

    @Option(
            names = "--found",
            description =
                    "founds a new tier if the folder is empty; else such a keeper waits" + " until it is added to one")
    private boolean found;

    @Override
    public Integer call() throws InterruptedException {
        return ConfigServerMain.run(config, found);
    }
}
