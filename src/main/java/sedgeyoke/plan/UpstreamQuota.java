package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The slow-start quota of one cold upstream in a planner's pool: deposits by forwarder, and grants outstanding. */
final class UpstreamQuota {
    private final Map<String, DelegatedQuota> deposits = new TreeMap<>();
    private final Map<String, List<OutstandingGrant>> grants = new TreeMap<>();

    /**
     * A forwarder's deposit.
     *
     * @param rate mean requests a second
     * @param launchedAtMicros the start of the upstream's process that it is for
     * @param expiresAtMicros until when it may be counted on
     */
    record DelegatedQuota(double rate, long launchedAtMicros, long expiresAtMicros) {}

    /**
     * A grant that its forwarder may still use.
     *
     * @param rate mean requests a second
     * @param expiresAtMicros until when it may be used, at the latest
     */
    record OutstandingGrant(double rate, long expiresAtMicros) {}

    void deposit(String forwarder, DelegatedQuota quota) {
        deposits.put(forwarder, quota);
    }

    void withdraw(String forwarder) {
        deposits.remove(forwarder);
    }

    boolean hasDeposits() {
        return !deposits.isEmpty();
    }

    boolean isEmpty() {
        return deposits.isEmpty() && grants.isEmpty();
    }

    boolean hasGrants() {
        return !grants.isEmpty();
    }

    boolean hasGrant(String forwarder) {
        return grants.containsKey(forwarder);
    }

    /** The forwarder's outstanding grants, to which new ones are added. */
    List<OutstandingGrant> grantsOf(String forwarder) {
        return grants.computeIfAbsent(forwarder, name -> new ArrayList<>());
    }

    void removeExpired(long nowMicros) {
        deposits.values().removeIf(deposit -> deposit.expiresAtMicros() <= nowMicros);
        grants.values().forEach(list -> list.removeIf(grant -> grant.expiresAtMicros() <= nowMicros));
        grants.values().removeIf(List::isEmpty);
    }

    /** Total of the deposits for one process of the upstream that last until {@code endMicros}. */
    double deposited(long launchedAtMicros, long endMicros) {
        return deposits.values().stream()
                .filter(deposit ->
                        deposit.expiresAtMicros() >= endMicros && deposit.launchedAtMicros() == launchedAtMicros)
                .mapToDouble(DelegatedQuota::rate)
                .sum();
    }

    /** The largest of a forwarder's outstanding grants: as messages may be late or lost, it may be the one in use. */
    double granted(String forwarder) {
        return grants.getOrDefault(forwarder, List.of()).stream()
                .mapToDouble(OutstandingGrant::rate)
                .max()
                .orElse(0);
    }

    /** Total of what all forwarders may use at present. */
    double totalGranted() {
        return grants.keySet().stream().mapToDouble(this::granted).sum();
    }

    /** When the last outstanding grant expires; {@code Long.MIN_VALUE} without any. */
    long lastExpiryMicros() {
        long last = Long.MIN_VALUE;
        for (List<OutstandingGrant> list : grants.values()) {
            for (OutstandingGrant grant : list) {
                last = Math.max(last, grant.expiresAtMicros());
            }
        }
        return last;
    }
}
