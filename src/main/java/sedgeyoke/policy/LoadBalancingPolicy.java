package sedgeyoke.policy;

import java.util.List;
import java.util.Map;

/**
 * The whole interface of the decision module: events come in as method calls, decisions go out through
 * {@link Actions}. {@link UtilizationWeightedPolicy} is the implementation.
 *
 * <p>All times are microseconds of one clock that only advances; {@code now} is passed in with each event and
 * durations are microseconds too. An instance is not safe for use by several threads at once: call it from
 * one thread, or guard it by one lock. It never blocks, and it calls {@link Actions} only from within an event.
 */
public interface LoadBalancingPolicy {

    /** Brings up the instance: sets its first timer. Call it once, before any other event. */
    void start(long now);

    /** The list of upstreams, or changes of it, as discovery told it. */
    void endpointsUpdated(long now, ListKind kind, List<Upstream> entries);

    /** A client's request has arrived; one final answer is owed from here on. */
    void requestArrived(long now, Request request);

    /** The end of one attempt. */
    void attemptEnded(long now, AttemptEnd end);

    /** A streamed answer has begun; the attempt belongs to the client from now on. */
    void responseStarted(long now, String request, int attempt);

    /**
     * From now on an attempt is a transfer, at the pace of whoever is slower: its body goes out in parts, or its answer
     * has begun and is not whole yet. It takes a connection of the upstream, and none of its work that we could count:
     * what a kernel still holds of a body hides when the upstream has it all.
     */
    void transferStarted(long now, String request, int attempt);

    /** The client has left; nothing is owed for this request any more. */
    void clientDisconnected(long now, String request);

    /** The result of a probe; {@code load} is null if none came along. */
    void healthCheckCompleted(long now, String upstream, Outcome outcome, LoadReport load);

    /** A timer that was set through {@link Actions#setTimer} is due. */
    void timerFired(long now, String token);

    /** A message from another balancer of the tier. */
    void peerMessageReceived(long now, int from, byte[] body);

    /** What planners say, as a whole: it replaces what they said before. A balancer without planners never hears it. */
    void planUpdated(long now, Plan plan);

    /**
     * The upstreams that operators have taken out of service by hand, and since when; it replaces what was said before.
     * They are sent nothing, whatever the list says. Ids that the list does not have count too: they may come back.
     */
    void cordonsUpdated(long now, Map<String, Long> out);

    /** What planners are told of this balancer. It asks only, and changes nothing. */
    Summary summary(long now);

    /** Where the decisions go. Every call takes effect at the time of the event being handled. */
    interface Actions {
        /** Starts an attempt; {@code timeout} 0 lets it run until the client gives up. */
        void send(String request, String upstream, long timeout);

        /** Final answer: refused, a further try is harmless. {@code retryAfter} 0 gives no advice. */
        void reject(String request, long retryAfter);

        /** Final answer: failed, nothing promised. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Asks for a call of {@link LoadBalancingPolicy#timerFired} after {@code delay}. */
        void setTimer(String token, long delay);

        /** Asks an upstream for its load. */
        void healthCheck(String upstream);

        /** Closes idle connections to an upstream. */
        void closeIdle(String upstream);

        /** Subscribes to changes of the list, or ends that. */
        void watchEndpoints(boolean on);

        /** Asks for the complete list once. */
        void fetchEndpoints();

        /** Sends a message to one peer, or to all if {@code peer} is negative. */
        void sendToPeer(int peer, byte[] body);

        /** A line for the operators. */
        void log(String text);
    }

    /** What a list of upstreams is: changes, the whole, the whole as held before a restart, or a failed call. */
    enum ListKind {
        CHANGES,
        COMPLETE,
        RESTORED,
        UNAVAILABLE
    }

    /** State of an upstream in the list. */
    enum State {
        READY,
        DRAINING,
        REMOVED
    }

    /** How an attempt ended. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** An error; it may have run. */
        ERROR(false),
        /** Rejected unseen. */
        REJECTED(true),
        /** No answer in time; it may have run or still run. */
        TIMEOUT(false),
        /** No connection could be had. */
        CONNECT_FAILED(true),
        /** Broken while outstanding; it may have run. */
        RESET(false),
        /** Called off; it may have run. */
        CANCELLED(false),
        /** Never sent. */
        NOT_SENT(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Whether a request may run more than once. */
    enum Effect {
        SAFE,
        IDEMPOTENT_WITH_KEY,
        UNSAFE
    }

    /** Which upstreams discard the repeat of a keyed request: all, those of one zone, or those of one cell. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports come: within answers, by probes alone, or not at all. */
    enum Reports {
        IN_RESPONSES,
        BY_HEALTH_CHECK,
        NONE
    }

    /** What an upstream's rating means. */
    enum Ratings {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** One upstream as the list names it; {@code launchedAt} 0 means long ago. */
    record Upstream(String id, int zone, int kind, int cell, State state, double rating, long launchedAt) {}

    /**
     * A request; {@code expectedWork} is 0 without a hint, {@code affinityKey} null without a key. {@code bodyPending} says that its
     * body is still on the way: an upstream begins its work when the client is done, whenever that is.
     */
    record Request(
            String id,
            int classIndex,
            int tenant,
            String affinityKey,
            long expectedWork,
            long timeLeft,
            boolean write,
            boolean retry,
            boolean bodyPending) {
        /** A request that is whole. */
        public Request(
                String id,
                int classIndex,
                int tenant,
                String affinityKey,
                long expectedWork,
                long timeLeft,
                boolean write,
                boolean retry) {
            this(id, classIndex, tenant, affinityKey, expectedWork, timeLeft, write, retry, false);
        }
    }

    /** The end of an attempt; {@code concluded} says that the request needs no further answer. */
    record AttemptEnd(
            String request,
            int attempt,
            String upstream,
            Outcome outcome,
            long duration,
            boolean concluded,
            LoadReport load) {}

    /** A load report; a value that the upstream does not report is NaN. Times are microseconds. */
    record LoadReport(
            double utilisation,
            double active,
            double waiting,
            double serviceTime,
            double servedPerSecond,
            double errorsPerSecond) {}

    /** A class of requests. {@code objectiveStretch} lengthens the latency objective by that multiple of the request's own work. */
    record RequestClass(
            long latencyObjective,
            double objectiveStretch,
            long clientTimeout,
            double priorityWeight,
            double latePriorityWeight,
            Effect effect,
            Scope scope,
            long deduplicationWindow,
            boolean stream) {}

    /** A tenant: its allowance in requests a second across all balancers, 0 for none stated. */
    record Tenant(double allowance, double share) {}

    /** What the balancer may do. */
    record Limits(
            int maxAttempts,
            boolean hedging,
            boolean healthChecks,
            boolean cancel,
            boolean peers,
            int maxConcurrentRequests,
            boolean retryAfter,
            long maxRetryAfter,
            long connectTimeout,
            long idleTimeout,
            int streamsPerConnection) {}

    /** The figures of the rules. */
    record PlatformRules(
            long responseSlack,
            long endpointPollLimit,
            double initialCapacity,
            long slowStartTime,
            long drainGrace,
            double overloadMultiple,
            long overloadWindow) {}

    /** Prices in points of the result, for each unit of what they are charged on. */
    record Prices(double crossZone, double wastedWork, double healthCheck, double lateFailure, double handshake) {}

    /** All that an instance is told at its start. */
    record Settings(
            int zone,
            int zones,
            int position,
            int groupSize,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overQuotaPriority,
            boolean priorityPerRequest,
            Limits limits,
            PlatformRules rules,
            Prices prices,
            Reports reports,
            Ratings ratings,
            boolean subscribesToEndpoints,
            boolean keyAffinity,
            long clockTick) {}

    /**
     * What planners say of one upstream. Its reports are no part of it: with the same ones at the same moment, all
     * balancers move their weights as one, and a large tier serves less than if each went by its own answers.
     *
     * @param limit in flight from this balancer; NaN for no word on it
     * @param launchedAt its latest start that anyone was told of; 0 for none
     * @param draining whether anyone was told that it drains: nothing new is sent there, whatever our own list says
     */
    record UpstreamView(String id, double limit, long launchedAt, boolean draining) {}

    /** A right to send so many mean requests a second to a cold upstream, until then. */
    record SlowStartGrant(double rate, long expiresAt) {}

    /**
     * Rights on an upstream that is cold since {@code launchedAt}: our own is lent until some time, and others'
     * are granted to us.
     */
    record SlowStartQuota(long launchedAt, long delegatedUntil, List<SlowStartGrant> grants) {}

    /**
     * A plan. {@code lastPlannerContact} is when a planner was last heard, 0 for never; {@code fadeOutTime} how long it then takes
     * to fade out; {@code zoneSpillover} the share of our zone's requests that is to go to each zone, or empty;
     * {@code ownQuotaBlockedUntil} until when our own rights on cold upstreams must not be used.
     */
    record Plan(
            long lastPlannerContact,
            long fadeOutTime,
            List<UpstreamView> upstreams,
            List<Double> zoneSpillover,
            long ownQuotaBlockedUntil,
            Map<String, SlowStartQuota> slowStartQuotas) {

        /**
         * What was agreed on for an upstream that is cold since {@code launchedAt}; null if nothing. A right that
         * is lent is lent whichever process runs there; a grant is for one process only.
         */
        public SlowStartQuota slowStartQuota(String upstream, long launchedAt) {
            SlowStartQuota right = slowStartQuotas.get(upstream);
            return right == null || right.launchedAt() == launchedAt
                    ? right
                    : new SlowStartQuota(launchedAt, right.delegatedUntil(), List.of());
        }
    }

    /**
     * How this balancer stands with one upstream. {@code sent} counts attempts since it is known; {@code reportedAt}
     * 0 means that it has no report; {@code ejected} that it is avoided, by our own choice or by hand;
     * {@code slowStartQuota} is our own right while it is cold, in mean requests a second.
     */
    record UpstreamStatus(
            String id,
            int zone,
            State state,
            long launchedAt,
            int inFlight,
            long sent,
            double weight,
            double limit,
            double utilisation,
            double waiting,
            long reportedAt,
            boolean ejected,
            double slowStartQuota) {}

    /** What a balancer tells of itself: requests a second by class, upstreams, and how many requests it holds. */
    record Summary(List<Double> demand, List<UpstreamStatus> upstreams, int queued) {}
}
