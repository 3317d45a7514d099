package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The slow-start quota of one cold upstream in a planner's pool: deposits and outstanding grants, by forwarder. */
final class UpstreamQuota {
    private final Map<String, DelegatedQuota> deposits = new TreeMap<>();
    private final Map<String, List<OutstandingGrant>> grants = new TreeMap<>();

    /**
     * A forwarder's deposit.
     *
     * @param rate mean requests a second
     * @param launchedAtMicros the start of the upstream's process that it is for
     * @param expiresAtMicros until when the planner counts on it
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

    /** Returns the forwarder's outstanding grants; new ones are added to this list. */
    List<OutstandingGrant> grantsOf(String forwarder) {
        return grants.computeIfAbsent(forwarder, name -> new ArrayList<>());
    }

    void removeExpired(long nowMicros) {
        deposits.values().removeIf(deposit -> deposit.expiresAtMicros() <= nowMicros);
        grants.values().forEach(list -> list.removeIf(grant -> grant.expiresAtMicros() <= nowMicros));
        grants.values().removeIf(List::isEmpty);
    }

    /**
     * Returns the total of the deposits for one process of the upstream that last at least until {@code endMicros}.
     */
    double deposited(long launchedAtMicros, long endMicros) {
        return deposits.values().stream()
                .filter(deposit ->
                        deposit.expiresAtMicros() >= endMicros && deposit.launchedAtMicros() == launchedAtMicros)
                .mapToDouble(DelegatedQuota::rate)
                .sum();
    }

    /**
     * Returns the largest of a forwarder's outstanding grants: as messages may be late or lost, any of them may be in
     * use.
     */
    double granted(String forwarder) {
        return grants.getOrDefault(forwarder, List.of()).stream()
                .mapToDouble(OutstandingGrant::rate)
                .max()
                .orElse(0);
    }

    /** Returns the total rate that all forwarders may use at present. */
    double totalGranted() {
        return grants.keySet().stream().mapToDouble(this::granted).sum();
    }

    /** Returns when the last outstanding grant expires; {@code Long.MIN_VALUE} if there is none. */
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
