package sedgeyoke.drill.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.standin.Site;

/**
 * Injects faults into a run, one after the other, as the seed draws them. Faults of different kinds may overlap; each
 * undoes itself.
 */
final class SoakFaults implements AutoCloseable {
    private static final long MIN_INTERVAL_MILLIS = 150;
    private static final long FURTHER_INTERVAL_MILLIS = 500;

    private final FaultContext context;
    /** The kinds to draw from; a kind that is listed twice is drawn twice as often. */
    private final List<Fault> faults;

    SoakFaults(Site site, SoakPlan plan, Mistake mistake, List<SoakBalancer> balancers, EventLog events) {
        this.context = new FaultContext(site, balancers, events, plan.seed());
        this.faults = faults(context, plan, mistake);
    }

    private static List<Fault> faults(FaultContext context, SoakPlan plan, Mistake mistake) {
        Fault drain = NodeOutage.drain(context);
        Fault answerFaults = new DiscoveryAnswerFaults(context, drain);
        List<Fault> faults = new ArrayList<>();
        faults.add(drain);
        faults.add(drain);
        faults.add(new NodeRestart(context));
        faults.add(NodeOutage.removal(context));
        faults.add(new ConnectionReset(context));
        faults.add(answerFaults);
        faults.add(answerFaults);
        // A polled shared service responds or resets connections when it is down, which other faults cover.
        faults.add(plan.polled() ? () -> {} : new DiscoverySilence(context));
        faults.add(
                mistake == Mistake.REQUESTS_LOST
                        ? BalancerTermination.losingRequests(context)
                        : BalancerTermination.graceful(context));
        faults.add(new BalancerKill(context));
        faults.add(new BalancerReloadOrStall(context));
        faults.add(new SystemCallFault(context));
        return List.copyOf(faults);
    }

    /** Injects faults for a time, and returns once all of them are undone. */
    void runFor(long millis) throws IOException, InterruptedException {
        long endNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < endNanos) {
            Thread.sleep(MIN_INTERVAL_MILLIS + context.random().nextLong(FURTHER_INTERVAL_MILLIS));
            faults.get(context.random().nextInt(faults.size())).inject();
        }
        context.scheduler().awaitAll(BalancerRestart.TIMEOUT_MILLIS);
    }

    /** Failures, such as balancers that did not start or did not exit. */
    List<String> failures() {
        return context.scheduler().failures();
    }

    @Override
    public void close() {
        context.close();
    }
}
