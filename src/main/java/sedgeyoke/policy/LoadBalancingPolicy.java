package sedgeyoke.policy;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The interface of a load-balancing policy: events come in as method calls, decisions go out through
 * {@link Actions}. {@link UtilizationWeightedPolicy} is the implementation.
 *
 * <p>All times and durations here are microseconds; {@code nowMicros} comes with each event and never goes back. An
 * instance is not thread-safe: call it from one thread or under one lock. It does not block, and it calls
 * {@link Actions} only from within an event.
 */
public interface LoadBalancingPolicy {

    /** Sets the first timer. Call it once, before any other event. */
    void start(long nowMicros);

    /** Discovery delivered the endpoint list or changes of it, or a stored list was read. */
    void endpointsUpdated(long nowMicros, ListKind kind, List<Upstream> entries);

    /** A call to discovery failed. */
    void endpointsUnavailable(long nowMicros);

    /** A request of a client arrived; it is owed one final response. */
    void requestArrived(long nowMicros, Request request);

    /** An attempt ended. */
    void attemptEnded(long nowMicros, AttemptEnd end);

    /**
     * A response or a long request body is being streamed: this attempt is the last one of its request, and it can no
     * longer be cancelled.
     */
    void responseStarted(long nowMicros, String request, int attempt);

    /**
     * An attempt is a transfer from now on, at the pace of the slower side: its body is sent in parts, or its
     * response is being received. It occupies a connection but no measurable work of the upstream, as buffers hide
     * when the upstream has received all of a body.
     */
    void transferStarted(long nowMicros, String request, int attempt);

    /** The client disconnected; no response is owed any more. */
    void clientDisconnected(long nowMicros, String request);

    /** A health check ended; {@code load} is null if it brought no report. */
    void healthCheckCompleted(long nowMicros, String upstream, Outcome outcome, LoadReport load);

    /** A timer set through {@link Actions#setTimer} is due. */
    void timerFired(long nowMicros, Timer timer);

    /** A message from another balancer of the tier arrived. */
    void peerMessageReceived(long nowMicros, int from, byte[] body);

    /** The plan changed; this one replaces the former one. Never called without planners. */
    void planUpdated(long nowMicros, Plan plan);

    /**
     * The cordons of operators changed; they replace the former ones. A cordoned upstream gets no attempts,
     * whatever the endpoint list says.
     */
    void cordonsUpdated(long nowMicros, Cordons cordons);

    /** The load report of this balancer to planners. It changes no state. */
    Summary summary(long nowMicros);

    /** The decisions. Each call takes effect at the time of the event that is being handled. */
    interface Actions {
        /** Sends an attempt; {@code timeoutMicros} 0 sets no time limit. */
        void send(String request, String upstream, long timeoutMicros);

        /** Final response: rejected, so a retry is harmless. {@code retryAfterMicros} 0 sends no Retry-After. */
        void reject(String request, long retryAfterMicros);

        /** Final response: failed; the request may have run. */
        void fail(String request);

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

    /** What an update of the endpoint list is: changes, all of it, or a stored copy of it. */
    enum ListKind {
        CHANGES,
        COMPLETE,
        RESTORED
    }

    /** A timer of the policy; hosts return the token as it is. */
    record Timer(String token) {}

    /**
     * The upstreams that operators have cordoned, as the policy reads them. Where they are changed and stored they are
     * a {@code CordonSet} of the proxy, which the policy must not depend on.
     *
     * @param sinceMicrosById since when, by upstream id; ids may be unknown to the endpoint list
     */
    record Cordons(SortedMap<String, Long> sinceMicrosById) {
        /** No upstream is cordoned. */
        public static final Cordons NONE = new Cordons(Collections.emptySortedMap());

        /** Copies the map. */
        public Cordons {
            sinceMicrosById = Collections.unmodifiableSortedMap(new TreeMap<>(sinceMicrosById));
        }

        /** Copies the map, in the order of ids. */
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
        /** The request was not written to its end: no connection could be opened in time, or it broke before that. */
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

        /** Whether a client may send a request again that may have run; its retry may go to any upstream. */
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

    /** An entry of the endpoint list; {@code launchedAtMicros} 0 means long ago. */
    record Upstream(String id, int zone, int kind, int cell, State state, double rating, long launchedAtMicros) {}

    /**
     * A request. {@code expectedWork} is 0 without a hint, {@code affinityKey} null without a key.
     * {@code bodyPending} says that its body is still being received, so that the upstream starts its work at a time
     * that depends on the client.
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
     * A class of requests. The latency objective is lengthened by {@code objectiveStretch} times the expected work.
     * A response in time counts {@code priorityWeight}, a late one {@code latePriorityWeight}. Upstreams remember
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

    /** A tenant; its allowance is in requests a second over all balancers, 0 for none. */
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
            long maxRetryAfterMicros,
            long connectTimeoutMicros,
            long idleTimeoutMicros,
            int streamsPerConnection) {}

    /**
     * The platform's rules. The endpoint list is polled at least each {@code endpointPollLimitMicros}. A launched
     * upstream has {@code initialCapacity} of its capacity, and all of it after {@code slowStartTimeMicros}; before,
     * it fails if it gets more than {@code overloadMultiple} times its capacity within {@code overloadWindowMicros}.
     */
    record PlatformRules(
            long responseSlackMicros,
            long endpointPollLimitMicros,
            double initialCapacity,
            long slowStartTimeMicros,
            long drainGraceMicros,
            double overloadMultiple,
            long overloadWindowMicros) {}

    /** What the platform charges, in points for each unit. */
    record Prices(double crossZone, double wastedWork, double healthCheck, double lateFailure, double handshake) {}

    /**
     * The settings of an instance. {@code position} is its number among the {@code groupSize} balancers, which
     * decides the order in which it samples upstreams. {@code priorityWeightByWork} says that priority weights
     * count for each unit of work instead of each request.
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
     * What planners know of an upstream. Its load reports are not part of it: balancers with the same reports at the
     * same time would change their weights in step, which serves less than weights from their own responses.
     *
     * @param limit planned in-flight limit of this balancer; NaN for none
     * @param launchedAtMicros its latest launch that any balancer knows of; 0 for none
     * @param draining whether any balancer knows that it drains: it gets no attempts, whatever our list says
     */
    record UpstreamView(String id, double limit, long launchedAtMicros, boolean draining) {}

    /** A granted rate, in mean requests a second, to a slow-starting upstream. */
    record SlowStartGrant(double rate, long expiresAtMicros) {}

    /**
     * The quota of an upstream that starts slowly since {@code launchedAtMicros}: our own one is delegated for some
     * time, and others grant parts of theirs to us.
     */
    record SlowStartQuota(long launchedAtMicros, long delegatedUntilMicros, List<SlowStartGrant> grants) {}

    /**
     * A plan. {@code lastPlannerContactMicros} is 0 without a contact; a plan fades out over
     * {@code fadeOutTimeMicros} after it. {@code zoneSpillover} has the share of our zone's requests for each
     * zone, or is empty. Our own slow-start quotas must not be used before {@code ownQuotaBlockedUntilMicros}.
     */
    record Plan(
            long lastPlannerContactMicros,
            long fadeOutTimeMicros,
            List<UpstreamView> upstreams,
            List<Double> zoneSpillover,
            long ownQuotaBlockedUntilMicros,
            Map<String, SlowStartQuota> slowStartQuotas) {

        /**
         * The quota of an upstream launched at {@code launchedAtMicros}; null if none was agreed. A delegation
         * holds for every process of the upstream, a grant for one only.
         */
        public SlowStartQuota slowStartQuota(String upstream, long launchedAtMicros) {
            SlowStartQuota quota = slowStartQuotas.get(upstream);
            return quota == null || quota.launchedAtMicros() == launchedAtMicros
                    ? quota
                    : new SlowStartQuota(launchedAtMicros, quota.delegatedUntilMicros(), List.of());
        }
    }

    /**
     * The state of an upstream at this balancer. {@code sent} counts its attempts; {@code reportedAtMicros} is 0
     * without a load report; {@code ejected} is set for cordoned upstreams too; {@code slowStartQuota} is our own
     * one, in mean requests a second.
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

    /** What a balancer reports to planners: requests a second by class, upstreams, and queued requests. */
    record Summary(List<Double> demand, List<UpstreamStatus> upstreams, int queued) {}
}
