package sedgeyoke.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.model.IdempotencyKeyCache;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;
import sedgeyoke.model.UpstreamModel;

/** What is at work at an order node shares its cores evenly; what finds no slot waits. */
class SharedCoresTest {
    private static final long MS = 1_000;
    private final SimulationContext context = new SimulationContext(Scenarios.orders(1, 3, 1, 1), 1);
    private final EventQueue events = context.events;
    private final List<Long> doneAt = new ArrayList<>();
    private final List<UpstreamModel.Answer> answers = new ArrayList<>();

    private UpstreamModel node(int cores, int slots, int queue) {
        RequestClassModel work =
                new RequestClassModel("work", "free", 1, 10_000, 10_000, 1, 100, RequestClassModel.Spread.CONSTANT);
        SiteModel site = new SiteModel(List.of("a"), List.of(work), List.of(), SiteModel.RuleSpec.USUAL, false);
        InvariantChecker ledger = new InvariantChecker(site);
        UpstreamModel node = new UpstreamModel(
                new SiteModel.NodeSpec("n", 0, cores, 1, slots, queue),
                site,
                context.upstreamHost(),
                ledger,
                new IdempotencyKeyCache(),
                1);
        node.start();
        for (int i = 0; i < 20; i++) {
            ledger.wanted(work);
            ledger.asked("r" + i, work, null, "b", SimulationContext.START, SimulationContext.START + 10_000 * MS);
        }
        return node;
    }

    private void ask(UpstreamModel node, int number) {
        node.take("r" + number, null, null, answer -> {
            answers.add(answer);
            doneAt.add(Math.round((events.now() - SimulationContext.START) / 1e3));
        });
    }

    @Test
    void twoOnOneCoreTakeTwiceAsLongAndOneThatComesLaterSharesFromThenOn() {
        UpstreamModel node = node(1, 3, 0);
        ask(node, 0);
        ask(node, 1);
        events.schedule(150 * MS, () -> ask(node, 2)); // the first two have 25 ms of work left each by then
        events.runUntil(SimulationContext.START + 1_000 * MS);
        assertEquals(List.of(225L, 225L, 300L), doneAt);
        assertEquals(300.0 * MS, (double) node.worked(), (double) MS);
        assertEquals(0, node.unaccounted(), 1e-9);
    }

    @Test
    void withAsManySlotsAsCoresOthersWaitInTurnAndBeyondTheQueueTheyAreTurnedAway() {
        UpstreamModel node = node(2, 2, 1);
        for (int i = 0; i < 4; i++) {
            ask(node, i);
        }
        events.runUntil(SimulationContext.START + 1_000 * MS);
        assertEquals(List.of(0L, 100L, 100L, 200L), doneAt);
        assertEquals(UpstreamModel.Kind.FULL, answers.get(0).kind());
    }

    @Test
    void aCrowdAtWorkGetsLessDoneInAll() {
        UpstreamModel node = node(1, 12, 0);
        for (int i = 0; i < 12; i++) {
            ask(node, i);
        }
        events.runUntil(SimulationContext.START + 10_000 * MS);
        assertEquals(12, doneAt.size());
        assertEquals(2_000, doneAt.get(11), 5); // 1.2 s of work by a node that has lost two fifths of its speed
    }

    @Test
    void aNodeThatSlowsDownHalfWayTakesLongerForTheRest() {
        UpstreamModel node = node(1, 1, 0);
        ask(node, 0);
        events.schedule(50 * MS, () -> node.slow(3));
        events.runUntil(SimulationContext.START + 1_000 * MS);
        assertEquals(List.of(200L), doneAt);
    }
}
