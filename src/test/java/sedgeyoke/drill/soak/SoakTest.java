package sedgeyoke.drill.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A short soak with fixed seeds, and mistakes that it must find. The long one is {@code bin/sedgeyoke drill soak}. */
class SoakTest {
    private static final int SECONDS = 10;
    private static final int BALANCERS = 4;
    private static final PrintWriter OUT = new PrintWriter(System.out, true, StandardCharsets.UTF_8);

    @TempDir
    private Path folder;

    /** The program from the classes of this build. */
    private static List<String> program() {
        return List.of(
                System.getProperty("java.home") + "/bin/java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx80m",
                "-cp",
                System.getProperty("java.class.path"),
                "sedgeyoke.drill.soak.ServeMain");
    }

    private static String broken(SoakOptions options) throws Exception {
        return new SoakDrill(options, OUT)
                .runAll().stream().flatMap(result -> result.broken().stream()).collect(Collectors.joining("\n"));
    }

    /** One seed with agents, one that polls. */
    @Test
    void noRuleBreaksUnderFaults() throws Exception {
        Path shim = FaultLibrary.build(folder);
        SoakOptions options = new SoakOptions(101, 2, SECONDS, BALANCERS, 1, shim, program(), true, Mistake.NONE);
        assertEquals("", broken(options));
    }

    @Test
    void withoutFaultsNothingIsFound() throws Exception {
        SoakOptions options = new SoakOptions(201, 2, 4, BALANCERS, 2, null, program(), false, Mistake.NONE);
        assertEquals("", broken(options));
    }

    /** Each is found, and by the rule that it breaks. */
    @Test
    void plantedMistakesAreFound() throws Exception {
        ExecutorService runs = Executors.newFixedThreadPool(3);
        try {
            Map<Mistake, Future<String>> found = new EnumMap<>(Mistake.class);
            for (Mistake mistake : EnumSet.complementOf(EnumSet.of(Mistake.NONE))) {
                // An even seed has agents: polls may keep changes unknown for longer than this run takes.
                SoakOptions options = new SoakOptions(302, 1, SECONDS, BALANCERS, 1, null, program(), true, mistake);
                found.put(mistake, runs.submit(() -> broken(options)));
            }
            for (Map.Entry<Mistake, Future<String>> run : found.entrySet()) {
                String broken = run.getValue().get();
                assertTrue(
                        broken.contains(ruleBrokenBy(run.getKey())), run.getKey() + " was not found, but: " + broken);
            }
        } finally {
            runs.shutdownNow();
        }
    }

    private static String ruleBrokenBy(Mistake mistake) {
        return switch (mistake) {
            case DRAINS_NOT_ANNOUNCED -> "rule 3:";
            case NO_SLOW_START -> "rule 4:";
            case EFFECTS_REPEATED -> "rule 2:";
            default -> "rule 1:";
        };
    }
}
