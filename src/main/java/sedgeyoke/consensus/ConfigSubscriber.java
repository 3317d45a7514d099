package sedgeyoke.consensus;

/**
 * The side of a balancer that acts on documents. It acts on a version under a lease alone; while another version is to
 * take effect, on the meet of both; without a lease, on what contradicts no version that could be in force, as the
 * schema says. A keeper's word that is older than one it has acted on changes nothing.
 */
public final class ConfigSubscriber {
    private final String name;
    private final long run;
    private final SafetyRules rules;
    private ConfigVersion active;
    private ConfigVersion pending;
    private long leaseUntil = Long.MIN_VALUE;

    /** By what it acts. */
    public enum Mode {
        /** Under a lease. */
        LEASED,
        /** Without a keeper's word. */
        WITHOUT_LEASE
    }

    /**
     * What it acts on.
     *
     * @param activeVersion the newest version in force that it knows
     * @param pendingVersion the version that is to take effect, 0 if none is known
     * @param leaseUntilMicros when the lease runs out
     */
    public record EffectiveConfig(
            Mode mode, long activeVersion, long pendingVersion, long leaseUntilMicros, ConfigDocument document) {}

    /** {@code last}: what an earlier process of this balancer acted on last, or {@link ConfigVersion#NONE}. */
    public ConfigSubscriber(String name, long run, SafetyRules rules, ConfigVersion last) {
        this.name = name;
        this.run = run;
        this.rules = rules;
        this.active = last;
    }

    /** What to ask a keeper now. */
    public LeaseRequest leaseRequest(long now) {
        return new LeaseRequest(name, run, now, newestVersion(), ConfigSchema.VERSION);
    }

    /** The newest version that it holds. */
    public long newestVersion() {
        return pending == null ? active.number() : pending.number();
    }

    /**
     * A keeper's answer, with the versions that it names as far as they were not held; null where they were. True if it
     * wants to ask again at once: it holds something newer than what it had asked with.
     */
    public boolean handle(long now, LeaseResponse grant, ConfigVersion itsActive, ConfigVersion itsPending) {
        if (!grant.balancer().equals(name)
                || grant.incarnation() != run
                || rules.isStale(grant.activeVersion(), active.number())) {
            return false; // another's, or a word of the past
        }
        long before = newestVersion();
        ConfigVersion inForce = held(grant.activeVersion(), itsActive);
        ConfigVersion next = grant.pendingVersion() == 0 ? null : held(grant.pendingVersion(), itsPending);
        if (inForce == null || grant.pendingVersion() != 0 && next == null) {
            return false; // not whole
        }
        active = inForce;
        if (next != null) {
            pending = next;
        } else if (pending != null && pending.number() <= active.number()) {
            pending = null; // else a word from before it was told of: the stricter one stays
        }
        if (grant.granted()) {
            leaseUntil = Math.max(leaseUntil, rules.leaseUsableUntil(grant.sentAtMicros(), now));
        }
        return newestVersion() > before;
    }

    private ConfigVersion held(long number, ConfigVersion told) {
        if (active.number() == number) {
            return active;
        } else if (pending != null && pending.number() == number) {
            return pending;
        }
        return told != null && told.number() == number ? told : null;
    }

    /** What it acts on at this moment. */
    public EffectiveConfig effectiveConfig(long now) {
        ConfigDocument both =
                pending == null ? active.content() : rules.duringActivation(active.content(), pending.content());
        long next = pending == null ? 0 : pending.number();
        return now < leaseUntil
                ? new EffectiveConfig(Mode.LEASED, active.number(), next, leaseUntil, both)
                : new EffectiveConfig(Mode.WITHOUT_LEASE, active.number(), next, leaseUntil, rules.withoutLease(both));
    }

    /** The version in force that it acts on, to be kept for its next process. */
    public ConfigVersion active() {
        return active;
    }

    /** The version that is to take effect, or null. */
    public ConfigVersion pending() {
        return pending;
    }
}
