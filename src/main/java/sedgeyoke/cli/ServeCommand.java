package sedgeyoke.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import sedgeyoke.serve.BalancerMain;

/**
 * {@code serve}: runs one balancer. {@code bin/sedgeyoke serve} starts {@link BalancerMain} without this class, which
 * provides the help text, and the command if {@link Sedgeyoke} is started from a class path.
 */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs one balancer until SIGTERM, as 'run' in deploy/balancer.toml does.",
            "The platform's configuration is read from the file that BALANCER_CONFIG names."
        })
final class ServeCommand implements Callable<Integer> {
    @Option(names = "--config", paramLabel = "FILE", description = "operator's file; default: SEDGEYOKE_OPERATOR")
    private Path config;

    @Override
    public Integer call() throws InterruptedException {
        BalancerMain.main(config == null ? new String[0] : new String[] {"--config", config.toString()});
        Thread.currentThread().join(); // requests are served by the event loop; SIGTERM ends the process
        return 0;
    }
}
