package sedgeyoke.policy;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The interface of a load-balancing policy: events arrive as method calls, and the policy acts through {@link Actions}.
 * {@link UtilizationWeightedPolicy} is the implementation.
 *
 * <p>All times and durations are in microseconds. Each event comes with the current time, {@code nowMicros}, which
 * never decreases. An instance is not thread-safe: call it from one thread or under one lock. It does not block, and it
 * calls {@link Actions} only while it handles an event.
 */
public interface LoadBalancingPolicy {

    /** Starts the policy, which sets its first timer. Must be called once, before any other event. */
    void start(long nowMicros);

    /** Discovery sent the endpoint list or changes to it, or a stored list was read. */
    void endpointsUpdated(long nowMicros, ListKind kind, List<Upstream> entries);

    /** A call to discovery failed. */
    void endpointsUnavailable(long nowMicros);

    /** A request arrived; its client must get exactly one final response. */
    void requestArrived(long nowMicros, Request request);

    /** An attempt ended. */
    void attemptEnded(long nowMicros, AttemptEnd end);

    /**
     * The response or a long request body of an attempt is being streamed: the request can have no other attempt, and
     * this one can no longer be cancelled.
     */
    void responseStarted(long nowMicros, String request, int attempt);

    /**
     * An attempt became a transfer, at the pace of the slower side: its request body is sent in parts, or its response
     * is being received. It occupies a connection, but its work at the upstream cannot be measured, as buffers hide
     * when the upstream has received the whole body.
     */
    void transferStarted(long nowMicros, String request, int attempt);

    /** The client disconnected; its request needs no response any more. */
    void clientDisconnected(long nowMicros, String request);

    /** A health check ended; {@code load} is null if it brought no report. */
    void healthCheckCompleted(long nowMicros, String upstream, Outcome outcome, LoadReport load);

    /** A timer set through {@link Actions#setTimer} is due. */
    void timerFired(long nowMicros, Timer timer);

    /** A message from another balancer of the tier arrived. */
    void peerMessageReceived(long nowMicros, int from, byte[] body);

    /** The plan changed; {@code plan} replaces the previous one. Never called without planners. */
    void planUpdated(long nowMicros, Plan plan);

    /**
     * The cordons set by operators changed; {@code cordons} replaces the previous ones. A cordoned upstream gets no
     * attempts, whatever the endpoint list says.
     */
    void cordonsUpdated(long nowMicros, Cordons cordons);

    /** Returns the load report of this balancer to planners. Changes no state. */
    Summary summary(long nowMicros);

    /** The actions that a policy can take. Each call takes effect at the time of the event that is being handled. */
    interface Actions {
        /** Sends an attempt; a {@code timeoutMicros} of 0 sets no time limit. */
        void send(String request, String upstream, long timeoutMicros);

        /**
         * Sends a rejection as the final response, which tells the client that a retry is harmless. A
         * {@code retryAfterMicros} of 0 sends no Retry-After.
         */
        void reject(String request, long retryAfterMicros);

        /** Sends a failure as the final response; the request may have run. */
        void fail(String request);

        /** Says, for the log, why the policy sends the rejection or failure that follows. */
        default void unserved(String request, String reason) {}

        /**
         * Whether a repetition of the request at this upstream would reach the process that the endpoint list means,
         * and those of its attempts that may have run did. Otherwise the zone and the cell of the process are unknown.
         */
        default boolean reachesListedProcess(String request, String upstream) {
            return true;
        }

        /** Cancels an attempt. */
        void cancel(String request, int attempt);

        /** Requests a call of {@link LoadBalancingPolicy#timerFired} after {@code delayMicros}. */
        void setTimer(Timer timer, long delayMicros);

        /** Starts a health check of an upstream, which asks for its load report. */
        void healthCheck(String upstream);

        /** Closes idle connections to an upstream. */
        void closeIdle(String upstream);

        /** Subscribes to the endpoint list, or ends the subscription. */
        void watchEndpoints(boolean on);

        /** Polls the complete endpoint list once. */
        void fetchEndpoints();

        /** Sends a message to one peer, or to all if {@code peer} is negative. */
        void sendToPeer(int peer, byte[] body);

        /** Logs a line. */
        void log(String text);
    }

    /** What an update of the endpoint list contains: changes, the complete list, or a stored copy of it. */
    enum ListKind {
        CHANGES,
        COMPLETE,
        RESTORED
    }

    /** A timer of the policy; the host passes the token back unchanged when the timer is due. */
    record Timer(String token) {}

    /**
     * The upstreams that operators have cordoned, read-only. The proxy changes and stores them as a {@code CordonSet},
     * a type that the policy must not depend on.
     *
     * @param sinceMicrosById when each cordon began, by upstream id; an id may be missing in the endpoint list
     */
    record Cordons(SortedMap<String, Long> sinceMicrosById) {
        /** No upstream is cordoned. */
        public static final Cordons NONE = new Cordons(Collections.emptySortedMap());

        /** Copies the map. */
        public Cordons {
            sinceMicrosById = Collections.unmodifiableSortedMap(new TreeMap<>(sinceMicrosById));
        }

        /** Creates cordons from a copy of a map that need not be sorted. */
        public static Cordons of(Map<String, Long> sinceMicrosById) {
            return new Cordons(new TreeMap<>(sinceMicrosById));
        }

        /** Whether this upstream is cordoned. */
        public boolean contains(String upstream) {
            return sinceMicrosById.containsKey(upstream);
        }
    }

    /** State of an upstream in the endpoint list. */
    enum State {
        READY,
        DRAINING,
        REMOVED
    }

    /** How an attempt ended. */
    enum Outcome {
        /** Success. */
        OK(false),
        /** An error response; the attempt may have run. */
        ERROR(false),
        /** Rejected by the upstream before it ran. */
        REJECTED(true),
        /** No response in time; the attempt may have run or still run. */
        TIMEOUT(false),
        /** The request was not written in full: no connection was opened in time, or it broke before the end. */
        CONNECT_FAILED(true),
        /** The connection broke; the attempt may have run. */
        RESET(false),
        /** Cancelled; the attempt may have run. */
        CANCELLED(false),
        /** Ended before it was sent. */
        NOT_SENT(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /**
     * Whether a request may run more than once: safe or idempotent, idempotent with an idempotency key, or
     * neither.
     */
    enum Effect {
        SAFE,
        IDEMPOTENT_WITH_KEY,
        UNSAFE;

        /** Whether a client may safely retry a request that may have run. Its retry may reach any upstream. */
        public boolean isRetryHarmless(Scope scope) {
            return this == SAFE || (this == IDEMPOTENT_WITH_KEY && scope == Scope.ALL);
        }
    }

    /** Which upstreams share idempotency keys: all, those of one zone, or those of one cell. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports arrive: in responses, by health checks alone, or not at all. */
    enum Reports {
        IN_RESPONSES,
        BY_HEALTH_CHECK,
        NONE
    }

    /** What the rating of an upstream means: nothing, or a more or less exact capacity. */
    enum Ratings {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** An entry of the endpoint list. A {@code launchedAtMicros} of 0 means that it was launched long ago. */
    record Upstream(String id, int zone, int kind, int cell, State state, double rating, long launchedAtMicros) {}

    /**
     * A request. {@code expectedWork} is 0 without a hint, {@code affinityKey} is null without a key.
     * {@code bodyPending} says that its body is still being received, so that the client determines when the upstream
     * can start the work.
     */
    record Request(
            String id,
            int classIndex,
            int tenant,
            String affinityKey,
            long expectedWork,
            long timeLeftMicros,
            boolean write,
            boolean retry,
            boolean bodyPending) {
        /** A request whose body is complete. */
        public Request(
                String id,
                int classIndex,
                int tenant,
                String affinityKey,
                long expectedWork,
                long timeLeftMicros,
                boolean write,
                boolean retry) {
            this(id, classIndex, tenant, affinityKey, expectedWork, timeLeftMicros, write, retry, false);
        }
    }

    /** The end of an attempt; {@code concluded} says that the request needs no other response. */
    record AttemptEnd(
            String request,
            int attempt,
            String upstream,
            Outcome outcome,
            long durationMicros,
            boolean concluded,
            LoadReport load) {}

    /** A load report; a value that the upstream does not report is NaN. */
    record LoadReport(
            double utilisation,
            double active,
            double waiting,
            double serviceTimeMicros,
            double servedPerSecond,
            double errorsPerSecond) {}

    /**
     * A class of requests. The latency objective grows by {@code objectiveStretch} for each unit of expected work. A
     * response within it is worth {@code priorityWeight}, a later one {@code latePriorityWeight}. Upstreams remember
     * idempotency keys for {@code deduplicationWindowMicros}.
     */
    record RequestClass(
            long latencyObjectiveMicros,
            double objectiveStretch,
            long clientTimeoutMicros,
            double priorityWeight,
            double latePriorityWeight,
            Effect effect,
            Scope scope,
            long deduplicationWindowMicros,
            boolean stream) {}

    /** A tenant. Its allowance is in requests per second over all balancers; 0 means unlimited. */
    record Tenant(double allowance, double share) {}

    /** Limits on what the balancer may do, and the features that it may use. */
    record Limits(
            int maxAttempts,
            boolean hedging,
            boolean healthChecks,
            boolean cancel,
            boolean peers,
            int maxConcurrentRequests,
            boolean retryAfter,
            long maxRetryAfterMicros,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            int streamsPerConnection) {}

    /**
     * The platform's rules. The endpoint list must be polled at least every {@code endpointPollLimitMicros}. A launched
     * upstream starts with the share {@code initialCapacity} of its capacity and has all of it after
     * {@code slowStartTimeMicros}. Until then it fails if it gets more than {@code overloadMultiple} times its current
     * capacity within {@code overloadWindowMicros}.
     */
    record PlatformRules(
            long responseSlackMicros,
            long endpointPollLimitMicros,
            double initialCapacity,
            long slowStartTimeMicros,
            long drainGraceMicros,
            double overloadMultiple,
            long overloadWindowMicros) {}

    /** What the platform charges, in points per unit. */
    record Prices(double crossZone, double wastedWork, double healthCheck, double lateFailure, double handshake) {}

    /**
     * The settings of an instance. {@code position} is its number among the {@code groupSize} balancers, which
     * determines the order in which it considers upstreams. {@code priorityWeightByWork} says that priority weights are
     * per unit of work instead of per request.
     */
    record Settings(
            int zone,
            int zones,
            int position,
            int groupSize,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overQuotaPriority,
            boolean priorityWeightByWork,
            Limits limits,
            PlatformRules rules,
            Prices prices,
            Reports reports,
            Ratings ratings,
            boolean subscribesToEndpoints,
            boolean keyAffinity,
            long clockTickMicros) {}

    /**
     * What planners know of an upstream. Its load reports are left out: balancers that get the same reports at the same
     * time would change their weights in step, which serves fewer requests than weights from their own responses.
     *
     * @param limit planned in-flight limit of this balancer; NaN for none
     * @param launchedAtMicros its latest launch that any balancer knows of; 0 for none
     * @param draining whether any balancer knows that it drains; it then gets no attempts, whatever our list says
     */
    record UpstreamView(String id, double limit, long launchedAtMicros, boolean draining) {}

    /** A rate, in mean requests per second, that another balancer grants us for a slow-starting upstream. */
    record SlowStartGrant(double rate, long expiresAtMicros) {}

    /**
     * The quotas agreed for an upstream in slow start since {@code launchedAtMicros}: our own quota is delegated to
     * other balancers until {@code delegatedUntilMicros}, and others grant us parts of theirs.
     */
    record SlowStartQuota(long launchedAtMicros, long delegatedUntilMicros, List<SlowStartGrant> grants) {}

    /**
     * A plan. {@code lastPlannerContactMicros} is 0 if there was no contact; after it, the plan fades out over
     * {@code fadeOutTimeMicros}. {@code zoneSpillover} has the share of our zone's requests that each zone should get,
     * or is empty. Our own slow-start quotas must not be used before {@code ownQuotaBlockedUntilMicros}.
     */
    record Plan(
            long lastPlannerContactMicros,
            long fadeOutTimeMicros,
            List<UpstreamView> upstreams,
            List<Double> zoneSpillover,
            long ownQuotaBlockedUntilMicros,
            Map<String, SlowStartQuota> slowStartQuotas) {

        /**
         * The quotas for an upstream launched at {@code launchedAtMicros}; null if none were agreed. A delegation
         * applies to every process of the upstream, a grant only to the process that it was made for.
         */
        public SlowStartQuota slowStartQuota(String upstream, long launchedAtMicros) {
            SlowStartQuota quota = slowStartQuotas.get(upstream);
            return quota == null || quota.launchedAtMicros() == launchedAtMicros
                    ? quota
                    : new SlowStartQuota(launchedAtMicros, quota.delegatedUntilMicros(), List.of());
        }
    }

    /**
     * The state of an upstream at this balancer. {@code sent} counts the attempts sent to it; {@code reportedAtMicros}
     * is 0 without a load report; {@code ejected} is also set for cordoned upstreams; {@code slowStartQuota} is our own
     * quota, in mean requests per second.
     */
    record UpstreamStatus(
            String id,
            int zone,
            State state,
            long launchedAtMicros,
            int inFlight,
            long sent,
            double weight,
            double limit,
            double utilisation,
            double waiting,
            long reportedAtMicros,
            boolean ejected,
            double slowStartQuota) {}

    /**
     * What a balancer reports to planners: requests per second by class, upstreams, and the number of queued requests.
     */
    record Summary(List<Double> demand, List<UpstreamStatus> upstreams, int queued) {}
}
