package sedgeyoke.simulation;

import java.util.List;
import sedgeyoke.model.SiteModel;

/**
 * What a simulation runs. Times are seconds unless a name says otherwise.
 *
 * @param site upstreams, request classes and the figures of the platform's rules
 * @param seconds for how long clients start operations
 * @param warmUpSeconds at the start of the run, which the figures leave out
 * @param forwarders number of forwarders in each zone
 * @param policy the forwarders' policy, one of {@link BaselinePolicies#names}
 * @param planners number and settings of the planners
 * @param traffic what clients do
 * @param network delays and limits
 * @param faults what is injected, in any order
 */
public record Scenario(
        SiteModel site,
        double seconds,
        double warmUpSeconds,
        List<Integer> forwarders,
        String policy,
        PlannerSpec planners,
        Traffic traffic,
        Network network,
        List<Fault> faults) {

    /** The number of forwarders in all zones. */
    public int totalForwarders() {
        return forwarders.stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Planners, and the settings of the forwarders that apply their plans.
     *
     * @param count how many run at the start
     * @param reportMs interval of a forwarder's reports
     * @param planMs interval of a planner's plans
     * @param leaseMs for how long slow-start quota is delegated
     * @param fadeMs how long a plan takes to lose its effect after the last contact with a planner
     * @param driftPpm the clock drift that the lease rules allow for
     */
    public record PlannerSpec(int count, long reportMs, long planMs, long leaseMs, long fadeMs, long driftPpm) {
        /** The defaults of the operator's file. */
        public static PlannerSpec defaults(int count) {
            return new PlannerSpec(count, 200, 200, 1_500, 4_000, 1_000);
        }
    }

    /** What a client does when its request is rejected. */
    public enum Retries {
        /** It gives up. */
        NONE,
        /** It retries at once. */
        AT_ONCE,
        /** It retries after a random backoff, which doubles each time. */
        BACKOFF,
        /** It retries after the answer's Retry-After; without one, as with {@link #BACKOFF}. */
        RETRY_AFTER
    }

    /**
     * What clients do.
     *
     * @param load offered load, as a share of the capacity of all upstreams with cold keys at the start
     * @param zoneShare each zone's share of the operations
     * @param loadCurve factors on the load, evenly spaced over the run, linear between them; empty for a steady load
     * @param burst operations that start at the same time; 1 for a Poisson process
     * @param keys number of affinity keys; 0 for requests without keys
     * @param keySkew exponent of the keys' popularity; 1 is uniform
     * @param retries what clients do with rejected requests
     * @param forwarderImbalance how much larger the first forwarder's share of a zone is than the last one's: 0 is
     *     even, 1 is twice as large
     */
    public record Traffic(
            double load,
            List<Double> zoneShare,
            List<Double> loadCurve,
            int burst,
            int keys,
            double keySkew,
            Retries retries,
            double forwarderImbalance) {}

    /**
     * Delays and limits of the network and of processes.
     *
     * @param inZoneUs one-way delay within a zone, in microseconds
     * @param crossZoneUs one-way delay between zones, in microseconds
     * @param jitter mean of an exponentially distributed extra delay, as a share of the delay
     * @param stall share of messages that are delayed by a packet loss
     * @param stallUs by how much a packet loss delays, in microseconds
     * @param minDiscoveryMs smallest delay of discovery's watch events; each forwarder has its own
     * @param maxDiscoveryMs largest delay of discovery's watch events
     * @param failureDetectionMs for how long the frontend goes on sending to a forwarder that is down
     * @param clockSkewMs largest offset of a clock, either way
     * @param clockDriftPpm largest drift of a clock, either way
     * @param maxConnections that an upstream accepts; 0 for any number
     * @param coldStartUs extra cost of a forwarder's first request after its start, in microseconds; it falls to 0 over
     *     {@link #COLD_START_REQUESTS}
     */
    public record Network(
            long inZoneUs,
            long crossZoneUs,
            double jitter,
            double stall,
            long stallUs,
            long minDiscoveryMs,
            long maxDiscoveryMs,
            long failureDetectionMs,
            long clockSkewMs,
            long clockDriftPpm,
            int maxConnections,
            long coldStartUs) {
        /** After so many requests, most of the code that they run is compiled. */
        public static final int COLD_START_REQUESTS = 60;
        /** The platform's. */
        public static final Network DEFAULT = new Network(150, 900, 0.3, 0, 200_000, 300, 1_500, 1_500, 5, 50, 0, 0);
    }

    /** Kinds of faults; experiment files name them in lower case. */
    public enum Kind {
        /** An upstream restarts, cold. */
        RESTART_NODE,
        /** An upstream is drained, and removed {@link Fault#value} seconds later. */
        DRAIN_NODE,
        /** An upstream stops responding, and restarts cold at the end of the fault. */
        VANISH_NODE,
        /** An upstream is removed, and another one starts cold under a new id. */
        REPLACE_NODE,
        /** As {@link #REPLACE_NODE}, at the same address. */
        REPLACE_NODE_IN_PLACE,
        /** An upstream's work takes {@link Fault#value} times as long. */
        SLOW_NODE,
        /** An upstream answers with errors at once. */
        ERRORS_FAST,
        /** An upstream answers with errors after the work. */
        ERRORS_SLOW,
        /** All upstreams of a zone stop responding, and restart cold at the end of the fault. */
        LOSE_ZONE,
        /** Messages between a zone and the others are lost. */
        CUT_ZONE,
        /** A share {@link Fault#value} of all answers is lost, while their connections stay silent. */
        LOSE_ANSWERS,
        /** A share {@link Fault#value} of all connections is reset when the answer is due. */
        RESET_CONNECTIONS,
        /** A zone's share of the traffic is multiplied by {@link Fault#value}. */
        ZONE_LOAD,
        /** Discovery sends no watch events. */
        DISCOVERY_DOWN,
        /** A forwarder is killed, and restarts at the end of the fault. */
        KILL_FORWARDER,
        /** A forwarder shuts down gracefully, and restarts. */
        RESTART_FORWARDER,
        /** A forwarder's process is paused, and then goes on. */
        PAUSE_FORWARDER,
        /** A planner is killed, and restarts at the end of the fault. */
        KILL_PLANNER,
        /** A planner's process is paused, and then goes on. */
        PAUSE_PLANNER,
        /** What a planner sends is lost. */
        CUT_PLANNER_OUT,
        /** What is sent to a planner is lost. */
        CUT_PLANNER_IN
    }

    /**
     * A fault, which may be repeated.
     *
     * @param startSeconds when it is injected, after the start of the run
     * @param kind what happens
     * @param target number of the upstream, zone, forwarder or planner concerned; repetitions concern the following
     *     ones; -1 draws each from the seed
     * @param count how often it is injected
     * @param intervalSeconds between two repetitions; 0 injects all at once
     * @param durationSeconds until each ends; 0 for never
     * @param value as the kind says
     */
    public record Fault(
            double startSeconds,
            Kind kind,
            int target,
            int count,
            double intervalSeconds,
            double durationSeconds,
            double value) {
        /** Whether its targets are drawn from the seed. */
        boolean hasRandomTarget() {
            return target < 0;
        }
    }

    /** The same scenario with another policy. */
    public Scenario withPolicy(String otherPolicy) {
        return new Scenario(site, seconds, warmUpSeconds, forwarders, otherPolicy, planners, traffic, network, faults);
    }

    /** The same scenario with other planners. */
    public Scenario withPlanners(PlannerSpec otherPlanners) {
        return new Scenario(site, seconds, warmUpSeconds, forwarders, policy, otherPlanners, traffic, network, faults);
    }

    /** The same scenario with other faults. */
    public Scenario withFaults(List<Fault> otherFaults) {
        return new Scenario(site, seconds, warmUpSeconds, forwarders, policy, planners, traffic, network, otherFaults);
    }
}
