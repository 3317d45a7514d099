package sedgeyoke.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Virtual time goes forward only, and of the same moment, what was asked for first comes first. */
class EventQueueTest {
    private record Event(long at, int number) {}

    @Test
    void eventsComeInOrderOfTimeAndThenOfAsking() {
        SplittableRandom random = new SplittableRandom(1);
        EventQueue time = new EventQueue(100);
        List<Event> asked = new ArrayList<>();
        List<Event> seen = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            Event e = new Event(100 + random.nextInt(500), i);
            asked.add(e);
            time.schedule(e.at() - 100, () -> {
                assertEquals(e.at(), time.now());
                seen.add(e);
            });
        }
        time.runUntil(300);
        assertEquals(300, time.now());
        assertEquals(asked.stream().filter(e -> e.at() <= 300).count(), seen.size());
        time.runUntil(10_000);
        asked.sort(Comparator.comparingLong(Event::at).thenComparingInt(Event::number));
        assertEquals(asked, seen);
        assertEquals(20_000, time.processed());
    }

    @Test
    void whatIsAskedForFromWithinAnEventComesInItsTurn() {
        EventQueue time = new EventQueue(0);
        List<String> seen = new ArrayList<>();
        time.schedule(5, () -> {
            seen.add("a");
            time.schedule(0, () -> seen.add("c"));
            time.schedule(-7, () -> seen.add("d"));
        });
        time.schedule(5, () -> seen.add("b"));
        time.runUntil(5);
        assertEquals(List.of("a", "b", "c", "d"), seen);
    }
}
