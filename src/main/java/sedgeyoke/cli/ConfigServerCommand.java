package sedgeyoke.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import sedgeyoke.consensus.server.ConfigServerMain;

/** {@code config-server}: runs one config server. */
@Command(
        name = "config-server",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one config server until SIGTERM, as [config_server] in the operator's file sets it.",
            "Ends with 2 if it cannot start, and with 3 if its disk has failed."
        })
final class ConfigServerCommand implements Callable<Integer> {
    @Mixin
    private OperatorFileOption config;

    @Option(
            names = "--bootstrap",
            description = "bootstraps a new tier if the folder is empty; without it, a server with an empty folder"
                    + " waits until it is added to a tier")
    private boolean bootstrap;

    @Override
    public Integer call() throws InterruptedException {
        return ConfigServerMain.run(config.file(), bootstrap);
    }
}
