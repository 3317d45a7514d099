package sedgeyoke.drill;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import sedgeyoke.standin.FaultProxy;

/** Kills, stalls and partitions planners at set points of a drill. */
final class PlannerFaults {
    private static final int RESTART_EVERY_SECONDS = 3;
    private static final double LAST_KILL = 0.85;
    private static final double KILL_ALL = 0.3;

    private final List<ProgramProcess> planners;
    private final List<List<FaultProxy>> proxiesByForwarder;
    private final SplittableRandom random;
    private int kills;

    PlannerFaults(
            List<ProgramProcess> planners, List<List<FaultProxy>> proxiesByForwarder, PlannersDrill.Options options) {
        this.planners = planners;
        this.proxiesByForwarder = proxiesByForwarder;
        this.random = new SplittableRandom(options.seed() + 1);
    }

    /** The number of kills so far. */
    int kills() {
        return kills;
    }

    /** Injects the faults that are due in the current second; to be called once per second. */
    void inject(DrillClock clock) throws IOException {
        int phase = clock.second() % RESTART_EVERY_SECONDS;
        if (phase == 1 && clock.elapsedShare() < LAST_KILL) {
            kill(planners.get(random.nextInt(planners.size())));
        }
        if (clock.at(KILL_ALL)) {
            planners.forEach(this::kill);
        } else if (phase == 0) {
            restartKilled();
        }
        stall(clock);
        partition(clock);
    }

    private void kill(ProgramProcess planner) {
        if (planner.alive()) {
            planner.kill();
            kills++;
        }
    }

    private void restartKilled() throws IOException {
        for (ProgramProcess planner : planners) {
            if (!planner.alive()) {
                planner.start();
            }
        }
    }

    /** Stalls the first planner: its data is held back for a while, then delivered at once. */
    private void stall(DrillClock clock) {
        if (clock.at(0.4) || clock.at(0.65)) {
            proxiesByForwarder.forEach(proxies -> proxies.get(0).stall(true, true));
        } else if (clock.at(0.5) || clock.at(0.75)) {
            proxiesByForwarder.forEach(proxies -> proxies.get(0).stall(false, false));
        }
    }

    /** Lets two planners reach one half of the forwarders each, so that their plans differ. */
    private void partition(DrillClock clock) {
        if (clock.at(0.45)) {
            for (int forwarder = 0; forwarder < proxiesByForwarder.size(); forwarder++) {
                int unreachable = forwarder % 2 == 0 ? 1 : 2;
                proxiesByForwarder.get(forwarder).get(unreachable).cut(true);
            }
        } else if (clock.at(0.6)) {
            proxiesByForwarder.forEach(proxies -> proxies.forEach(proxy -> proxy.cut(false)));
        }
    }
}
