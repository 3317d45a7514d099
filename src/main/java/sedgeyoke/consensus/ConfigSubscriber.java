package sedgeyoke.consensus;

/**
 * The balancer's side: decides which config a balancer uses. With a lease, it uses the active version, merged with the
 * pending one if there is any. Without a lease, it uses a config that contradicts no version that may have become
 * active since ({@link ConfigSchema#withoutLease}). Responses with an active version older than its own are ignored.
 */
public final class ConfigSubscriber {
    private final String name;
    private final long incarnation;
    private final SafetyRules rules;
    private ConfigVersion active;
    private ConfigVersion pending;
    private long leaseUntilMicros = Long.MIN_VALUE;

    /** Whether the balancer has a lease. */
    public enum Mode {
        /** It has a lease. */
        LEASED,
        /** It has no lease: it uses the last config that it received, restricted by the floors. */
        WITHOUT_LEASE
    }

    /**
     * The config that the balancer uses.
     *
     * @param activeVersion the newest version that the balancer knows to be active
     * @param pendingVersion the version that is to be activated; 0 if the balancer knows none
     * @param leaseUntilMicros when the lease expires, by the balancer's monotonic clock
     * @param document the document to use
     */
    public record EffectiveConfig(
            Mode mode, long activeVersion, long pendingVersion, long leaseUntilMicros, ConfigDocument document) {}

    /**
     * Creates the subscriber of a balancer that has started and has no lease yet.
     *
     * @param incarnation drawn when its process started
     * @param last the active version that the balancer's previous process stored, or {@link ConfigVersion#NONE}
     */
    public ConfigSubscriber(String name, long incarnation, SafetyRules rules, ConfigVersion last) {
        this.name = name;
        this.incarnation = incarnation;
        this.rules = rules;
        this.active = last;
    }

    /** The lease request to send at {@code nowMicros}. */
    public LeaseRequest leaseRequest(long nowMicros) {
        return new LeaseRequest(name, incarnation, nowMicros, newestVersion(), ConfigSchema.VERSION);
    }

    /** The newest version that the balancer has. */
    public long newestVersion() {
        return pending == null ? active.number() : pending.number();
    }

    /**
     * Handles a lease response.
     *
     * @param nowMicros the time by this process's clock
     * @param receivedActive the active version that came with the response; null if none came
     * @param receivedPending the pending version that came with the response; null if none came
     * @return whether to request again at once, as the response brought a newer version
     */
    public boolean handle(
            long nowMicros, LeaseResponse response, ConfigVersion receivedActive, ConfigVersion receivedPending) {
        if (!isForThisProcess(response) || rules.isStale(response.activeVersion(), active.number())) {
            return false;
        }
        long newestBefore = newestVersion();
        ConfigVersion nextActive = versionOf(response.activeVersion(), receivedActive);
        ConfigVersion nextPending =
                response.pendingVersion() == 0 ? null : versionOf(response.pendingVersion(), receivedPending);
        if (nextActive == null || (response.pendingVersion() != 0 && nextPending == null)) {
            return false; // the response names a version that neither came with it nor was known before
        }
        active = nextActive;
        if (nextPending != null) {
            pending = nextPending;
        } else if (pending != null && pending.number() <= active.number()) {
            pending = null; // a newer pending version stays: the leader may have responded before it was created
        }
        if (response.granted()) {
            leaseUntilMicros =
                    Math.max(leaseUntilMicros, rules.leaseUsableUntilMicros(response.sentAtMicros(), nowMicros));
        }
        return newestVersion() > newestBefore;
    }

    private boolean isForThisProcess(LeaseResponse response) {
        return response.balancer().equals(name) && response.incarnation() == incarnation;
    }

    private ConfigVersion versionOf(long number, ConfigVersion received) {
        if (active.number() == number) {
            return active;
        } else if (pending != null && pending.number() == number) {
            return pending;
        }
        return received != null && received.number() == number ? received : null;
    }

    /** The config to use at {@code nowMicros}. */
    public EffectiveConfig effectiveConfig(long nowMicros) {
        ConfigDocument merged =
                pending == null ? active.content() : rules.duringActivation(active.content(), pending.content());
        boolean leased = nowMicros < leaseUntilMicros;
        return new EffectiveConfig(
                leased ? Mode.LEASED : Mode.WITHOUT_LEASE,
                active.number(),
                pending == null ? 0 : pending.number(),
                leaseUntilMicros,
                leased ? merged : rules.withoutLease(merged));
    }

    /** The newest version that the balancer knows to be active; its next process may start with it. */
    public ConfigVersion active() {
        return active;
    }

    /** The version that is to be activated; null if there is none. */
    public ConfigVersion pending() {
        return pending;
    }
}
