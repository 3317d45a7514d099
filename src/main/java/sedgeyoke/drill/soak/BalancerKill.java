package sedgeyoke.drill.soak;

import java.util.Optional;

/** Kills a balancer and starts it again; its requests in flight may be lost. */
final class BalancerKill implements Fault {
    private static final long MAX_DOWN_MILLIS = 1_000;

    private final FaultContext context;
    private final BalancerRestart restart;

    BalancerKill(FaultContext context) {
        this.context = context;
        this.restart = new BalancerRestart(context);
    }

    @Override
    public void inject() {
        Optional<SoakBalancer> reserved = context.reserveBalancer();
        if (reserved.isEmpty()) {
            return;
        }
        SoakBalancer balancer = reserved.get();
        long downMillis = context.random().nextLong(MAX_DOWN_MILLIS);
        context.events().add("KILL", balancer.name() + ", down for " + downMillis + " ms");
        context.scheduler().execute(() -> {
            balancer.killAnnounced();
            restart.run(balancer, downMillis);
        });
    }
}
