package sedgeyoke.drill.soak;

import java.io.IOException;

/** Starts a balancer again after it was terminated or killed. */
final class BalancerRestart {
    static final long TIMEOUT_MILLIS = 30_000;

    private final FaultContext context;

    BalancerRestart(FaultContext context) {
        this.context = context;
    }

    /** Keeps the configuration as last written, so that the balancer may start with an outdated endpoint list. */
    void run(SoakBalancer balancer, long downMillis) throws IOException, InterruptedException {
        Thread.sleep(downMillis);
        if (context.discovery().isSilent()) {
            balancer.configure(); // while discovery is silent, only the configuration has the earlier changes
        }
        balancer.start();
        balancer.awaitListening(TIMEOUT_MILLIS);
        context.events().add("STARTED", balancer.name());
        context.releaseBalancer(balancer);
    }
}
