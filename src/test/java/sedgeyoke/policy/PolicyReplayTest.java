package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.ReplayJournal.Kind;

/**
 * Freezes what {@link UtilizationWeightedPolicy} decides: random events of all kinds, under random settings, are
 * replayed, and a digest of all events and all decisions is compared with a constant. A refactoring must leave it as it
 * is; a commit that means to change decisions replaces the constants by those that the failure prints. Names of types
 * and constants never enter the digest.
 */
class PolicyReplayTest {
    private static final int SEEDS = 150;
    private static final String EXPECTED = "3c42a4b34434888a3e894e8da85768d2";
    /** The digests of the groups of settings, which tell where a difference lies. */
    private static final List<String> EXPECTED_GROUPS = List.of(
            "68502730530b317c659735cbcb5a725b", "359599330e70087c90129090470f69de",
            "a5847163f40c712ccbc38e59b2e72657", "8b64f4ab1126384de5fb181743fb2c35",
            "927dc88e8b8df2f76f79156bd0267173", "1c519ad9fc92696c0cd6a084b343498c");

    @Test
    void decisionsAreThoseOfBefore() {
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
