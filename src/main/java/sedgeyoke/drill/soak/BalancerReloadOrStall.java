package sedgeyoke.drill.soak;

import java.util.Optional;

/** Makes a balancer reload its configuration once or twice in a row, or suspends it briefly. */
final class BalancerReloadOrStall implements Fault {
    private static final int MAX_RELOADS = 2;
    private static final long MIN_STALL_MILLIS = 20;
    private static final long FURTHER_STALL_MILLIS = 130;

    private final FaultContext context;

    BalancerReloadOrStall(FaultContext context) {
        this.context = context;
    }

    @Override
    public void inject() {
        Optional<SoakBalancer> reserved = context.reserveBalancer();
        if (reserved.isEmpty()) {
            return;
        }
        SoakBalancer balancer = reserved.get();
        int reloads = context.random().nextInt(MAX_RELOADS + 1);
        long stallMillis = MIN_STALL_MILLIS + context.random().nextLong(FURTHER_STALL_MILLIS);
        String what = reloads > 0 ? " reloads " + reloads : " stopped for " + stallMillis + " ms";
        context.events().add("SIGNAL", balancer.name() + what);
        context.scheduler().execute(() -> {
            for (int i = 0; i < reloads; i++) {
                balancer.moveDiscovery();
            }
            if (reloads == 0) {
                balancer.stall(stallMillis);
            }
            context.releaseBalancer(balancer);
        });
    }
}
