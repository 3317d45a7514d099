package sedgeyoke.simulation;

import java.util.List;
import sedgeyoke.model.SiteModel;

/**
 * The input of a simulation. Times are seconds unless a name says otherwise.
 *
 * @param site upstreams, request classes and the parameters of the platform's rules
 * @param seconds for how long clients start operations
 * @param warmUpSeconds length of the initial period that is excluded from the results
 * @param forwarders number of forwarders in each zone
 * @param policy the forwarders' policy, one of {@link BaselinePolicies#names}
 * @param planners number and settings of the planners
 * @param traffic load and behaviour of the clients
 * @param network delays and limits
 * @param faults the faults to inject, in any order
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
     * The planners, and the settings of the forwarders that apply their plans.
     *
     * @param count number of planners at the start
     * @param reportMs interval of a forwarder's reports
     * @param planMs interval of a planner's plans
     * @param leaseMs for how long slow-start quota is delegated
     * @param fadeMs time after the last contact with a planner over which its plan loses its effect
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
     * Load and behaviour of the clients.
     *
     * @param load offered load, as a share of the capacity of all upstreams with cold keys at the start
     * @param zoneShare each zone's share of the operations
     * @param loadCurve factors of the load, evenly spaced over the run and interpolated; empty for a constant load
     * @param burst operations that start at the same time; 1 for independent arrivals
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
     * @param stall share of messages that are delayed by packet loss
     * @param stallUs delay caused by packet loss, in microseconds
     * @param minDiscoveryMs smallest delay of discovery's watch events; each forwarder has its own
     * @param maxDiscoveryMs largest delay of discovery's watch events
     * @param failureDetectionMs time until a zone's frontend stops sending to a forwarder that is down
     * @param clockSkewMs largest offset of a clock, in either direction
     * @param clockDriftPpm largest drift of a clock, in either direction
     * @param maxConnections largest number of connections that an upstream accepts; 0 for no limit
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
        /** Number of requests after which most of the code is compiled. */
        public static final int COLD_START_REQUESTS = 60;
        /** The platform's network. */
        public static final Network DEFAULT = new Network(150, 900, 0.3, 0, 200_000, 300, 1_500, 1_500, 5, 50, 0, 0);
    }

    /** Kinds of faults; experiment files name them in lower case. */
    public enum Kind {
        /** An upstream restarts and is in slow start. */
        RESTART_NODE,
        /** An upstream is drained, and removed {@link Fault#value} seconds later. */
        DRAIN_NODE,
        /** An upstream stops responding, and restarts at the end of the fault. */
        VANISH_NODE,
        /** An upstream is removed, and another one starts under a new id, in slow start. */
        REPLACE_NODE,
        /** Like {@link #REPLACE_NODE}, but at the same address. */
        REPLACE_NODE_IN_PLACE,
        /** An upstream's work takes {@link Fault#value} times as long. */
        SLOW_NODE,
        /** An upstream answers with errors at once. */
        ERRORS_FAST,
        /** An upstream does the work and then answers with errors. */
        ERRORS_SLOW,
        /** All upstreams of a zone stop responding, and restart at the end of the fault. */
        LOSE_ZONE,
        /** Messages between a zone and the others are lost. */
        CUT_ZONE,
        /** A share {@link Fault#value} of all answers is lost, while their connections stay open. */
        LOSE_ANSWERS,
        /** A share {@link Fault#value} of all answers is replaced by a reset of the connection. */
        RESET_CONNECTIONS,
        /** A zone's share of the traffic is multiplied by {@link Fault#value}. */
        ZONE_LOAD,
        /** Discovery sends no watch events. */
        DISCOVERY_DOWN,
        /** A forwarder is killed, and restarts at the end of the fault. */
        KILL_FORWARDER,
        /** A forwarder shuts down gracefully, and restarts. */
        RESTART_FORWARDER,
        /** A forwarder's process is paused, and resumes at the end of the fault. */
        PAUSE_FORWARDER,
        /** A planner is killed, and restarts at the end of the fault. */
        KILL_PLANNER,
        /** A planner's process is paused, and resumes at the end of the fault. */
        PAUSE_PLANNER,
        /** Messages from a planner are lost. */
        CUT_PLANNER_OUT,
        /** Messages to a planner are lost. */
        CUT_PLANNER_IN
    }

    /**
     * A fault, which may be repeated.
     *
     * @param startSeconds when it is injected, after the start of the run
     * @param kind what happens
     * @param target number of the affected upstream, zone, forwarder or planner; repetitions affect the following ones;
     *     -1 draws each from the seed
     * @param count number of injections
     * @param intervalSeconds between two repetitions; 0 injects all at once
     * @param durationSeconds time until each injection ends; 0 for never
     * @param value parameter of the fault; see {@link Kind}
     */
    public record Fault(
            double startSeconds,
            Kind kind,
            int target,
            int count,
            double intervalSeconds,
            double durationSeconds,
            double value) {
        /** Whether the targets of the fault are drawn from the seed. */
        boolean hasRandomTarget() {
            return target < 0;
        }
    }

    /** Returns a copy of this scenario with another policy. */
    public Scenario withPolicy(String otherPolicy) {
        return new Scenario(site, seconds, warmUpSeconds, forwarders, otherPolicy, planners, traffic, network, faults);
    }

    /** Returns a copy of this scenario with other planners. */
    public Scenario withPlanners(PlannerSpec otherPlanners) {
        return new Scenario(site, seconds, warmUpSeconds, forwarders, policy, otherPlanners, traffic, network, faults);
    }

    /** Returns a copy of this scenario with other faults. */
    public Scenario withFaults(List<Fault> otherFaults) {
        return new Scenario(site, seconds, warmUpSeconds, forwarders, policy, planners, traffic, network, otherFaults);
    }
}
