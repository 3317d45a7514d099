package sedgeyoke.consensus.server;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import sedgeyoke.consensus.FaultySafetyRules;

/**
 * The invariants of agreement over many seeds, and mistakes that each have to be found. A failing seed is played again
 * by {@code -Dsedgeyoke.consensus.from=SEED -Dsedgeyoke.consensus.seeds=1}, which prints what keepers said.
 */
class ConsensusSafetyTest {
    private static final long SEEDS = Long.getLong("sedgeyoke.consensus.seeds", 300);
    private static final long FROM = Long.getLong("sedgeyoke.consensus.from", 1);
    /** Seeds that a mistake is given to be found in. */
    private static final long TRIES = 200;

    @Test
    void theyHoldOverSeeds() {
        AtomicLong commits = new AtomicLong();
        AtomicInteger crashes = new AtomicInteger();
        AtomicInteger diskFaults = new AtomicInteger();
        AtomicInteger doubts = new AtomicInteger();
        AtomicLong leased = new AtomicLong();
        String first = LongStream.range(FROM, FROM + SEEDS)
                .parallel()
                .mapToObj(seed -> {
                    ConsensusSimulation s = new ConsensusSimulation(seed, new ConsensusSimulation.Faults());
                    s.trace = SEEDS == 1;
                    String breach = s.play();
                    commits.addAndGet(s.commits);
                    crashes.addAndGet(s.crashes);
                    diskFaults.addAndGet(s.diskFaults);
                    doubts.addAndGet(s.doubts);
                    leased.addAndGet(s.leasedSteps);
                    return breach == null ? null : "seed " + seed + " " + breach;
                })
                .filter(b -> b != null)
                .findFirst()
                .orElse(null);
        System.out.println(SEEDS + " seeds: " + commits + " commits, " + crashes + " crashes, " + diskFaults
                + " faults of disks, " + doubts + " starts in doubt, " + leased + " steps under lease");
        assertNull(first);
        assertTrue(
                SEEDS < 100
                        || commits.get() > 20 * SEEDS
                                && crashes.get() > SEEDS
                                && diskFaults.get() > SEEDS / 2
                                && doubts.get() > SEEDS / 4,
                "a simulation in which nothing happens shows nothing");
    }

    /** A seed that has found each; if what is drawn changes, the seeds from 1 on are tried. */
    private static final Map<String, Long> FOUND_BY = Map.ofEntries(
            Map.entry("half is a majority", 313L),
            Map.entry("a shorter log may lead", 877L),
            Map.entry("two votes in a term", 318L),
            Map.entry("promises do not wait for the disk", 1_731L),
            Map.entry("a lease counts from when the answer came", 501L),
            Map.entry("leases of leaders before are forgotten", 313L),
            Map.entry("a leader takes itself for one without asking", 1_162L));

    static Stream<Arguments> planted() {
        Map<String, ConsensusSimulation.Faults> all = new LinkedHashMap<>();
        FaultySafetyRules.all().forEach((what, rules) -> {
            ConsensusSimulation.Faults f = new ConsensusSimulation.Faults();
            f.rules = rules;
            all.put(what, f);
        });
        ConsensusSimulation.Faults damage = new ConsensusSimulation.Faults();
        damage.trustsDamage = true;
        all.put("what is damaged is taken for absent", damage);
        return all.entrySet().stream().map(e -> Arguments.of(e.getKey(), e.getValue()));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("planted")
    void aPlantedMistakeIsFound(String what, ConsensusSimulation.Faults faults) {
        LongStream seeds =
                LongStream.concat(LongStream.of(FOUND_BY.getOrDefault(what, 1L)), LongStream.rangeClosed(1, TRIES));
        String found = seeds.mapToObj(seed -> {
                    String breach = new ConsensusSimulation(seed, faults).play();
                    return breach == null ? null : "seed " + seed + " " + breach;
                })
                .filter(b -> b != null)
                .findFirst()
                .orElse(null);
        System.out.println(
                what + ": " + (found == null ? "NOT FOUND" : found.substring(0, Math.min(160, found.length()))));
        assertNotNull(found, what);
    }
}
