package sedgeyoke.simulation;

import java.util.List;
import sedgeyoke.model.SiteModel;

/**
 * What is played. All times are seconds unless a name says otherwise.
 *
 * @param site nodes, classes and the figures of the rules
 * @param seconds how long clients ask
 * @param warmUp seconds at the start that count for no figure
 * @param forwarders balancers in each zone
 * @param policy who decides, see {@link BaselinePolicies}
 * @param planners how many, 0 for none; and their settings
 * @param traffic what clients do
 * @param network delays, and how late news is
 * @param faults what happens on the way, in any order
 */
public record Scenario(
        SiteModel site,
        double seconds,
        double warmUp,
        List<Integer> forwarders,
        String policy,
        PlannerSpec planners,
        Traffic traffic,
        Network network,
        List<Fault> faults) {

    /** Balancers of all zones. */
    public int tier() {
        return forwarders.stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Planners and how they are followed.
     *
     * @param count how many run at the start
     * @param reportMs a forwarder reports so often
     * @param planMs a planner plans so often
     * @param leaseMs how long rights on cold nodes are lent
     * @param fadeMs how long a plan takes to fade out
     * @param driftPpm how far clocks may run fast or slow by the lease rules
     */
    public record PlannerSpec(int count, long reportMs, long planMs, long leaseMs, long fadeMs, long driftPpm) {
        /** The defaults of the operator's file. */
        public static PlannerSpec usual(int count) {
            return new PlannerSpec(count, 200, 200, 1_500, 4_000, 1_000);
        }
    }

    /** What a client does with a refusal. */
    public enum Retries {
        /** It gives up. */
        NONE,
        /** It asks again at once. */
        AT_ONCE,
        /** It waits longer each time. */
        BACKOFF,
        /** It waits for as long as it was told, if at all, and else as with {@link #BACKOFF}. */
        RETRY_AFTER
    }

    /**
     * What clients do.
     *
     * @param load requests asked for, as a share of what all nodes carry with cold keys at the start
     * @param zoneShare each zone's part
     * @param curve factors on the load, evenly over the time, linear between them; empty for a steady load
     * @param burst requests that come in one instant; 1 for a Poisson process
     * @param keys what requests are about; 0 for requests without keys
     * @param skew exponent of the keys' popularity: 1 is even
     * @param retries what becomes of a refusal
     * @param unevenFront how unevenly the front deals out: 0 evenly, 1 so that the first gets twice the last's
     */
    public record Traffic(
            double load,
            List<Double> zoneShare,
            List<Double> curve,
            int burst,
            int keys,
            double skew,
            Retries retries,
            double unevenFront) {}

    /**
     * Delays.
     *
     * @param inZoneUs one way within a zone, in microseconds
     * @param crossZoneUs one way between zones
     * @param jitter mean of an exponential part on top, as a share of the delay
     * @param stall share of messages that are held up by a loss
     * @param stallUs for so long
     * @param discoveryMs from so long after a change, evenly
     * @param discoveryMostMs until so long after it, balancers hear of it; each has its own delay
     * @param noticeMs the front goes on sending to a dead balancer for so long
     * @param clockSkewMs clocks differ by up to so much either way
     * @param clockDriftPpm and run up to so much fast or slow
     * @param connections that a node holds; further ones are refused; 0 for any number
     * @param youngUs what the first request costs a process that has just started; each further one costs less, until
     *     after {@link #YOUNG_REQUESTS} none costs anything
     */
    public record Network(
            long inZoneUs,
            long crossZoneUs,
            double jitter,
            double stall,
            long stallUs,
            long discoveryMs,
            long discoveryMostMs,
            long noticeMs,
            long clockSkewMs,
            long clockDriftPpm,
            int connections,
            long youngUs) {
        /** A process is young for so many requests: by then most of what they run is compiled. */
        public static final int YOUNG_REQUESTS = 60;
        /** Like the platform's. */
        public static final Network USUAL = new Network(150, 900, 0.3, 0, 200_000, 300, 1_500, 1_500, 5, 50, 0, 0);
    }

    /** What may happen. */
    public enum Kind {
        /** A node starts anew, cold. */
        RESTART_NODE,
        /** A node is drained, and goes {@link Fault#value} seconds later. */
        DRAIN_NODE,
        /** A node falls silent, and is back cold after {@link Fault#lasts}, if that is not 0. */
        VANISH_NODE,
        /** A node goes, and another one starts cold under a new id. */
        REPLACE_NODE,
        /** The same, at the address of the one that went. */
        REPLACE_NODE_IN_PLACE,
        /** A node's work takes {@link Fault#value} times as long. */
        SLOW_NODE,
        /** A node answers errors at once. */
        ERRORS_FAST,
        /** A node answers errors after the work. */
        ERRORS_SLOW,
        /** All nodes of a zone fall silent, and are back cold after {@link Fault#lasts}. */
        LOSE_ZONE,
        /** What a zone and the others send each other gets nowhere; nobody is told. */
        CUT_ZONE,
        /** This share of answers gets lost, their connections silent. */
        LOSE_ANSWERS,
        /** This share of connections is reset when the answer is due. */
        RESET_CONNECTIONS,
        /** A zone's part of the traffic is multiplied by {@link Fault#value}. */
        ZONE_LOAD,
        /** Discovery tells nobody anything. */
        DISCOVERY_DOWN,
        /** A balancer dies; it is back after {@link Fault#lasts}. */
        KILL_FORWARDER,
        /** A balancer ends in order, as on SIGTERM, and starts again. */
        RESTART_FORWARDER,
        /** A balancer does nothing for a while, and then goes on. */
        PAUSE_FORWARDER,
        /** A planner dies; it is back after {@link Fault#lasts}. */
        KILL_PLANNER,
        /** A planner does nothing for a while, and then goes on where it was. */
        PAUSE_PLANNER,
        /** What a planner sends gets nowhere, while it still hears. */
        CUT_PLANNER_OUT,
        /** What a planner is sent gets nowhere, while it is still heard. */
        CUT_PLANNER_IN
    }

    /**
     * One fault, or a row of them.
     *
     * @param at when, after the start
     * @param who the first to be struck, by number; -1 draws each from the seed
     * @param count how many, one after another
     * @param every seconds between them; 0 strikes all at once
     * @param lasts how long; 0 for good
     * @param value as the kind says
     */
    public record Fault(double at, Kind kind, int who, int count, double every, double lasts, double value) {}

    /** The same with another policy. */
    public Scenario withPolicy(String name) {
        return new Scenario(site, seconds, warmUp, forwarders, name, planners, traffic, network, faults);
    }

    /** The same with other planners. */
    public Scenario withPlanners(PlannerSpec spec) {
        return new Scenario(site, seconds, warmUp, forwarders, policy, spec, traffic, network, faults);
    }

    /** The same with other faults. */
    public Scenario withFaults(List<Fault> other) {
        return new Scenario(site, seconds, warmUp, forwarders, policy, planners, traffic, network, other);
    }
}
