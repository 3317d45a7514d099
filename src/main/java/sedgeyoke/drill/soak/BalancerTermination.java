package sedgeyoke.drill.soak;

import java.io.IOException;
import java.util.Optional;

/** Sends a balancer SIGTERM, once or twice, sometimes right after a reload, and starts it again. */
final class BalancerTermination implements Fault {
    private static final int MAX_SIGNALS = 2;
    private static final long MAX_DOWN_MILLIS = 400;

    private final FaultContext context;
    private final BalancerRestart restart;
    private final boolean killInstead;

    private BalancerTermination(FaultContext context, boolean killInstead) {
        this.context = context;
        this.restart = new BalancerRestart(context);
        this.killInstead = killInstead;
    }

    /** A graceful shutdown: the balancer must exit by itself before SIGKILL is sent. */
    static BalancerTermination graceful(FaultContext context) {
        return new BalancerTermination(context, false);
    }

    /** A planted mistake: kills the balancer, like one that exits at SIGTERM without completing its requests. */
    static BalancerTermination losingRequests(FaultContext context) {
        return new BalancerTermination(context, true);
    }

    @Override
    public void inject() {
        Optional<SoakBalancer> reserved = context.reserveBalancer();
        if (reserved.isEmpty()) {
            return;
        }
        SoakBalancer balancer = reserved.get();
        int signals = 1 + context.random().nextInt(MAX_SIGNALS);
        boolean reloadFirst = context.random().nextBoolean();
        long downMillis = context.random().nextLong(MAX_DOWN_MILLIS);
        context.events().add("TERM", balancer.name() + " signals " + signals + (reloadFirst ? " after a reload" : ""));
        context.scheduler().execute(() -> {
            if (reloadFirst) {
                balancer.moveDiscovery();
            }
            end(balancer, signals);
            restart.run(balancer, downMillis);
        });
    }

    private void end(SoakBalancer balancer, int signals) throws IOException, InterruptedException {
        if (killInstead) {
            balancer.killUnannounced();
        } else if (!balancer.terminate(signals)) {
            context.scheduler().fail(balancer.name() + " did not exit by itself before SIGKILL");
        }
    }
}
