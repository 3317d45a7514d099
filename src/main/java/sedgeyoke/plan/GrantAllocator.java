package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Divides the deposits on one upstream into grants to forwarders. It makes few large grants rather than many small
 * ones, because a forwarder cannot use a grant below its minimum rate.
 */
final class GrantAllocator {
    /** Share of the deposits that is granted; the rest absorbs changes of the deposits between reports. */
    private static final double GRANTED_SHARE = 0.8;
    /** Minimum rate of a grant, as a multiple of the minimum rate that a forwarder can use. */
    private static final double MIN_GRANT_FACTOR = 1.5;

    private GrantAllocator() {}

    /** The forwarders that get a grant, and the sum of their weights. */
    private record Recipients(List<GrantCandidate> candidates, double totalWeight) {}

    /** A forwarder and the rate that it is granted, in mean requests a second. */
    record Allocation(GrantCandidate candidate, double rate) {}

    /**
     * Allocates grants on one process of an upstream. Old and new grants together never exceed the deposits that last
     * until the last of these grants expires.
     *
     * @param candidates forwarders in descending order of weight
     */
    static List<Allocation> allocate(UpstreamQuota quota, long launchedAtMicros, List<GrantCandidate> candidates) {
        List<Allocation> allocations = new ArrayList<>();
        if (candidates.isEmpty()) {
            return allocations;
        }
        double deposited = quota.deposited(launchedAtMicros, lastExpiryMicros(quota, candidates));
        double unused = deposited - quota.totalGranted();
        if (unused < 0) { // a deposit has expired: no new grants until those that it covered have expired
            return allocations;
        }
        Recipients recipients = chooseRecipients(quota, GRANTED_SHARE * deposited, candidates);
        for (GrantCandidate recipient : recipients.candidates()) {
            double granted = quota.granted(recipient.forwarder());
            double fairRate = GRANTED_SHARE * deposited * recipient.weight() / recipients.totalWeight();
            double rate = Math.min(fairRate, granted + unused);
            if (rate > 0) {
                unused -= Math.max(0, rate - granted);
                allocations.add(new Allocation(recipient, rate));
            }
        }
        return allocations;
    }

    /** Returns when the last grant expires, of the outstanding ones and those that the candidates would get. */
    private static long lastExpiryMicros(UpstreamQuota quota, List<GrantCandidate> candidates) {
        long last = quota.lastExpiryMicros();
        for (GrantCandidate candidate : candidates) {
            last = Math.max(last, candidate.expiresAtMicros());
        }
        return last;
    }

    /** Chooses so few forwarders that each one's part of {@code available} reaches the minimum rate. */
    private static Recipients chooseRecipients(UpstreamQuota quota, double available, List<GrantCandidate> candidates) {
        double minRate = MIN_GRANT_FACTOR * candidates.get(0).minGrantRate();
        int maxRecipients = minRate > 0 ? Math.max(1, (int) (available / minRate)) : candidates.size();
        List<GrantCandidate> recipients = holdersFirst(quota, candidates, maxRecipients);
        double totalWeight =
                recipients.stream().mapToDouble(GrantCandidate::weight).sum();
        while (recipients.size() > 1) {
            GrantCandidate last = recipients.get(recipients.size() - 1);
            if (available * last.weight() / totalWeight >= minRate) {
                break;
            }
            totalWeight -= last.weight();
            recipients = recipients.subList(0, recipients.size() - 1);
        }
        return new Recipients(recipients, totalWeight);
    }

    /**
     * Chooses up to {@code maxRecipients} forwarders, those with outstanding grants first: quota that moves to another
     * forwarder stays unused until the old grant expires.
     */
    private static List<GrantCandidate> holdersFirst(
            UpstreamQuota quota, List<GrantCandidate> candidates, int maxRecipients) {
        List<GrantCandidate> chosen = new ArrayList<>();
        if (quota.hasGrants()) {
            addCandidates(chosen, quota, true, candidates, maxRecipients);
        }
        addCandidates(chosen, quota, false, candidates, maxRecipients);
        chosen.sort(Comparator.comparingDouble(candidate -> -candidate.weight()));
        return chosen;
    }

    private static void addCandidates(
            List<GrantCandidate> chosen,
            UpstreamQuota quota,
            boolean holders,
            List<GrantCandidate> candidates,
            int maxRecipients) {
        for (GrantCandidate candidate : candidates) {
            if (chosen.size() >= maxRecipients) {
                return;
            }
            if (quota.hasGrant(candidate.forwarder()) == holders) {
                chosen.add(candidate);
            }
        }
    }
}
