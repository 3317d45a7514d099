package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.ReplayJournal.Kind;

/**
 * Detects changes of the decisions of {@link UtilizationWeightedPolicy}: replays random events of all kinds under
 * random settings, and compares a digest of all events and decisions with a constant. A refactoring must not change the
 * digest; a commit that changes decisions on purpose replaces the constants by those that the failure prints. Names of
 * types and constants are not part of the digest.
 */
class PolicyReplayTest {
    private static final int SEEDS = 150;
    private static final String EXPECTED = "4638deb670acf87382b158974961feea";
    /** One digest for each group of settings, to show where decisions differ. */
    private static final List<String> EXPECTED_GROUPS = List.of(
            "a2b2ed871fa5f122913386971114d2bb", "1c63e8aeecf8adc883a7fdd695272b76",
            "fe9cc752d319acfd4a1c7c3983cf5d1b", "4f7a46a77492f5dd4853aacf9052f0f2",
            "b717f6fda89f49bfce2a5bd1401dcdee", "5e9e1cf0efefe72aaa726711ebd9e982");

    @Test
    void decisionsHaveTheExpectedDigest() {
        int[] counts = new int[Kind.values().length];
        List<ReplayJournal> groups = new ArrayList<>();
        EXPECTED_GROUPS.forEach(expected -> groups.add(new ReplayJournal(counts)));
        for (int seed = 0; seed < SEEDS; seed++) {
            ReplayJournal journal = new ReplayJournal(counts);
            new RandomReplay(seed, journal).run();
            groups.get(seed % groups.size()).put(journal.hex());
        }
        ReplayJournal total = new ReplayJournal(counts);
        List<String> found = groups.stream().map(ReplayJournal::hex).toList();
        found.forEach(total::put);
        assertCovered(counts);
        assertEquals(EXPECTED, total.hex(), () -> describeDifference(found));
    }

    private static void assertCovered(int[] counts) {
        for (Kind kind : Kind.values()) {
            int least =
                    switch (kind) {
                        case START -> SEEDS;
                        case CLOSE_IDLE, FETCH, SEND_TO_PEER, LOG -> 0; // the policy has no use for them
                        case HEALTH_CHECK, WATCH, CORDONS -> 150;
                        case SEND, REQUEST, OUTCOME, TIMER_DUE, TIMER -> 20_000;
                        default -> 500;
                    };
            int count = counts[kind.ordinal()];
            assertTrue(count >= least, () -> kind + " occurred only " + count + " times");
        }
    }

    private static String describeDifference(List<String> found) {
        StringBuilder text = new StringBuilder("decisions differ; digests by group of settings:\n");
        for (int group = 0; group < found.size(); group++) {
            boolean same = found.get(group).equals(EXPECTED_GROUPS.get(group));
            text.append(RandomSettings.manyBalancers(group) ? "more balancers than upstreams" : "few balancers")
                    .append(", reports ")
                    .append(RandomSettings.reports(group))
                    .append(": ")
                    .append(found.get(group))
                    .append(same ? " as before\n" : " DIFFERS\n");
        }
        return text.toString();
    }
}
