package sedgeyoke.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which scheduled actions a simulated process runs, and when. */
class SimulatedProcessTest {
    private final EventQueue events = new EventQueue(0);
    private final SimulatedProcess process = new SimulatedProcess(events);
    private final List<String> run = new ArrayList<>();

    private void schedule(long delayMicros, String name) {
        process.schedule(delayMicros, () -> run.add(name + "@" + events.now()));
    }

    @Test
    void actionsRunAtTheirTime() {
        process.start();
        schedule(20, "b");
        schedule(10, "a");
        events.runUntil(100);
        assertEquals(List.of("a@10", "b@20"), run);
    }

    @Test
    void actionsOfAKilledProcessAreDropped() {
        process.start();
        schedule(10, "a");
        process.kill();
        events.runUntil(100);
        assertFalse(process.running());
        assertEquals(List.of(), run);
    }

    @Test
    void actionsOfAnEarlierIncarnationAreDropped() {
        process.start();
        schedule(10, "a");
        process.kill();
        process.start();
        schedule(20, "b");
        events.runUntil(100);
        assertTrue(process.running());
        assertEquals(List.of("b@20"), run);
    }

    @Test
    void actionsOfAPauseRunInOrderAtItsEnd() {
        process.start();
        process.pauseUntil(50);
        schedule(20, "b");
        schedule(10, "a");
        schedule(60, "c");
        events.runUntil(100);
        assertEquals(List.of("a@50", "b@50", "c@60"), run);
    }
}
