package sedgeyoke.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import sedgeyoke.model.InvariantChecker.Answer;

/** The judge itself: each rule broken once on purpose, and the same step in order beside it. */
class InvariantCheckerTest {
    private static final long MS = 1_000;
    private static final RequestClassModel KEYED = SiteModel.orders().get(0);
    private static final RequestClassModel UNSAFE = SiteModel.orders().get(1);

    private final InvariantChecker ledger = new InvariantChecker(
            new SiteModel(List.of("a"), SiteModel.orders(), List.of(), SiteModel.RuleSpec.USUAL, false));

    private void ask(String id, RequestClassModel cls) {
        ledger.wanted(cls);
        ledger.asked(id, cls, null, "b1", 0, 500 * MS);
    }

    private void assertBroken(Map<Integer, Integer> rules) {
        assertEquals(rules, ledger.summary().violations(), ledger.violations().toString());
    }

    @Test
    void oneAnswerInTimeIsInOrder() {
        ask("1", UNSAFE);
        ledger.arrived("1", "n", 10 * MS);
        ledger.ran("1", "n");
        ledger.answered("1", Answer.SERVED, true, 0, 500 * MS);
        assertBroken(Map.of());
        assertEquals(1, ledger.summary().service());
    }

    @Test
    void aSecondAnswerALateOneALostOneAndAForeignOneBreakTheFirstRule() {
        ask("1", UNSAFE);
        ledger.answered("1", Answer.FAILED, true, 0, 1);
        ledger.answered("1", Answer.FAILED, true, 0, 2);
        ask("2", UNSAFE);
        ledger.answered("2", Answer.FAILED, true, 0, 571 * MS);
        ask("3", UNSAFE);
        ledger.unanswered("3", 500 * MS);
        ask("4", UNSAFE);
        ledger.answered("4", Answer.SERVED, false, 0, 1);
        assertBroken(Map.of(1, 4));
    }

    /**
     * While the judge's own loop does not run, it notes nothing; that is no balancer's fault, and nothing more is
     * excused.
     */
    @Test
    void whatCameWhileTheJudgeStoodStillIsNotLate() {
        ledger.beat(0);
        ask("1", UNSAFE);
        ask("2", UNSAFE);
        ledger.beat(510 * MS); // half a second late
        ledger.answered("1", Answer.FAILED, true, 0, 1_069 * MS);
        assertBroken(Map.of());
        ledger.answered("2", Answer.FAILED, true, 0, 1_071 * MS);
        assertBroken(Map.of(1, 1));
        assertEquals(500, ledger.stalledMs());
    }

    @Test
    void aPulseInTimeExcusesNothing() {
        for (long t = 0; t < 600 * MS; t += 10 * MS) {
            ledger.beat(t);
        }
        ask("1", UNSAFE);
        ledger.answered("1", Answer.FAILED, true, 0, 571 * MS);
        assertBroken(Map.of(1, 1));
    }

    @Test
    void whatAKilledBalancerHeldIsNotLost() {
        ask("1", UNSAFE);
        ledger.died("b1");
        ledger.unanswered("1", 1);
        ledger.back("b1");
        assertBroken(Map.of());
        ask("2", UNSAFE);
        ledger.unanswered("2", 1);
        assertBroken(Map.of(1, 1));
    }

    @Test
    void aSecondEffectAndARefusalOfWhatRanBreakTheSecondRule() {
        ask("1", KEYED);
        ledger.ran("1", "n");
        ledger.ran("1", "m");
        ask("2", UNSAFE);
        ledger.answered("2", Answer.REFUSED, true, 0, 1);
        ledger.ran("2", "n");
        ask("3", UNSAFE);
        ledger.ran("3", "n");
        ledger.answered("3", Answer.REFUSED, true, 0, 1);
        assertBroken(Map.of(2, 3));
    }

    @Test
    void aSecondEffectOfOneKeyBreaksTheSecondRule() {
        for (String id : List.of("1", "2")) {
            ledger.asked(id, KEYED, "k", "b1", 0, 500 * MS);
            ledger.ran(id, "n");
        }
        assertBroken(Map.of(2, 1));
    }

    @Test
    void aRequestThatNoClientSentBreaksTheSecondRule() {
        ledger.arrived("invented", "n", 1);
        assertBroken(Map.of(2, 1));
    }

    @Test
    void whatReachesADrainingNodeAfterTheGraceBreaksTheThirdRule() {
        ask("1", UNSAFE);
        ledger.told("b1", "n", false, 0);
        ledger.told("b1", "n", false, 900 * MS); // told again: the first time counts
        ledger.arrived("1", "n", 1_050 * MS);
        assertBroken(Map.of());
        ledger.arrived("1", "n", 1_051 * MS);
        assertBroken(Map.of(3, 1));
        ledger.told("b1", "n", true, 1_060 * MS);
        ledger.arrived("1", "n", 3_000 * MS);
        assertEquals(1, ledger.summary().violations().get(3));
    }

    @Test
    void aNodeThatFellBreaksTheFourthRule() {
        ledger.fell("n");
        assertBroken(Map.of(4, 1));
    }

    @Test
    void anAnswerAfterItsAimIsWorthNothing() {
        ask("1", KEYED);
        ledger.answered("1", Answer.SERVED, true, 0, 251 * MS);
        assertEquals(0, ledger.summary().service());
    }
}
