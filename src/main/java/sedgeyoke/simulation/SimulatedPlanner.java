package sedgeyoke.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.Planner;

/** One planner: the real one, with the link's delays and the ways in which its process can fail. */
final class SimulatedPlanner {
    private static final int MOST_FORWARDERS = 10_000;
    private static final int MOST_UPSTREAMS = 20_000;

    private final SimulationContext world;
    private final String name;
    private final int zone;
    private final long skew;
    private final double drift;
    private final Map<String, SimulatedForwarder> forwarders = new HashMap<>();
    private Planner planner;
    private boolean alive;
    private int process;
    private long pausedUntil;
    private long deafUntil;
    private long muteUntil;
    /** For the figures: messages sent and upstreams in them. */
    long messages;

    long views;

    SimulatedPlanner(SimulationContext world, int number) {
        this.world = world;
        this.name = "p" + number;
        this.zone = number % world.scenario.site().zones().size();
        this.skew = world.random.nextLong(1L << 40); // its monotonic clock has nothing to do with any other
        this.drift = world.scenario.network().clockDriftPpm() * 1e-6 * (2 * world.random.nextDouble() - 1);
    }

    String name() {
        return name;
    }

    boolean alive() {
        return alive;
    }

    private long now() {
        return skew + (long) ((1 + drift) * world.time.now());
    }

    void start() {
        alive = true;
        process++;
        planner = new Planner(
                new Planner.Settings(name, name.hashCode() * 1_000L + process, MOST_FORWARDERS, MOST_UPSTREAMS),
                new LeaseClock(world.scenario.planners().driftPpm()));
        schedulePlan(process);
    }

    void kill() {
        alive = false;
        process++;
    }

    void pause(long until) {
        pausedUntil = until;
    }

    /** What it is sent is lost until then. */
    void deaf(long until) {
        deafUntil = until;
    }

    /** What it sends is lost until then. */
    void mute(long until) {
        muteUntil = until;
    }

    private void inTurn(int mine, Runnable what) {
        if (mine != process || !alive) {
            return;
        }
        if (world.time.now() < pausedUntil) {
            world.time.after(pausedUntil - world.time.now(), () -> inTurn(mine, what));
        } else {
            what.run();
        }
    }

    private void schedulePlan(int mine) {
        world.time.after(
                world.scenario.planners().planMs() * 1_000,
                () -> inTurn(mine, () -> {
                    plan();
                    schedulePlan(mine);
                }));
    }

    private void plan() {
        List<Planner.AddressedPlan> plans = planner.createPlans(now());
        for (Planner.AddressedPlan out : plans) {
            SimulatedForwarder f = forwarders.get(out.forwarder());
            messages++;
            views += out.message().views().size();
            if (f != null && world.time.now() >= muteUntil) {
                f.hear(out.message(), world.delay(zone, f.zone()));
            }
        }
    }

    void hear(SimulatedForwarder from, ForwarderReport report) {
        int mine = process;
        if (world.time.now() < deafUntil) {
            return;
        }
        world.time.after(
                world.delay(from.zone(), zone),
                () -> inTurn(mine, () -> {
                    forwarders.put(from.name(), from);
                    planner.handleReport(now(), report);
                }));
    }
}
