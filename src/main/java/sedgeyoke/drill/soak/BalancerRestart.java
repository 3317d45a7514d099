package sedgeyoke.drill.soak;

import java.io.IOException;

/** Starts a balancer again that was terminated or killed: the undo of both. */
final class BalancerRestart {
    static final long TIMEOUT_MILLIS = 30_000;

    private final FaultContext context;

    BalancerRestart(FaultContext context) {
        this.context = context;
    }

    /** Its configuration stays as it was last written, so that the endpoints that it starts with may be old. */
    void run(SoakBalancer balancer, long downMillis) throws IOException, InterruptedException {
        Thread.sleep(downMillis);
        if (context.discovery().isSilent()) {
            balancer.configure(); // in a silence nothing else has the changes before it
        }
        balancer.start();
        balancer.awaitListening(TIMEOUT_MILLIS);
        context.events().add("STARTED", balancer.name());
        context.releaseBalancer(balancer);
    }
}
