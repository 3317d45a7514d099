package sedgeyoke.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Files that are wrong, comparisons, and the same figures however many runs go side by side. */
class ExperimentTest {
    private static final String SMALL = "[scenario]\nnodes = 6\nforwarders = 3\nseconds = 6\nload = 0.5\n"
            + "[[faults]]\nat = 2\ndo = \"replace_node\"\n"
            + "[[variants]]\nname = \"none\"\n[[variants]]\nname = \"planners\"\nplanners = 2\n"
            + "[[variants]]\nname = \"failing\"\nplanners = 2\n[[variants.faults]]\nat = 2\ndo = \"kill_planner\"\n"
            + "[compare]\nbase = \"none\"\nwith = \"planners\"\nfailing = \"failing\"\n";

    @TempDir
    private Path folder;

    private Path file(String text) throws Exception {
        return Files.writeString(folder.resolve("e.toml"), text);
    }

    private ObjectNode play(int jobs, Path out) throws Exception {
        return new Experiment(ExperimentFile.load(file(SMALL)), 3, 3, jobs, out, new PrintWriter(new StringWriter()))
                .run();
    }

    @Test
    void theSameFiguresHoweverManyRunsGoSideBySide() throws Exception {
        ObjectNode alone = play(1, folder.resolve("a"));
        ObjectNode together = play(4, folder.resolve("b"));
        assertEquals(alone, together);
        assertEquals(Files.readString(folder.resolve("a/runs.jsonl")),
                Files.readString(folder.resolve("b/runs.jsonl")));
        assertEquals(9, Files.readAllLines(folder.resolve("a/runs.jsonl")).size());
        assertEquals(10, Files.readAllLines(folder.resolve("a/runs.csv")).size());
        for (String figure : List.of("service_gain", "service_gain_low", "warm_up_s", "warm_up_s_without",
                "ratio_failing", "rule_violations", "cold_peak_share_of_budget")) {
            assertTrue(alone.has(figure), figure);
        }
        assertTrue(alone.path("service_gain_low").asDouble() <= alone.path("service_gain").asDouble());
    }

    @Test
    void allThatIsWrongInAFileIsSaidWithItsLine() throws Exception {
        BadExperiment bad = assertThrows(BadExperiment.class, () -> ExperimentFile.load(file("[scenario]\nnodes = 0\n"
                + "nods = 3\nretries = \"often\"\nzone_share = [1]\n[[faults]]\nat = 2\ndo = \"explode\"\n"
                + "[[variants]]\nname = \"a\"\npolicy = \"magic\"\n[compare]\nbase = \"b\"\n")));
        for (String said : List.of(":2: scenario.nodes: must be a whole number from 1",
                ":3: scenario.nods: is not known",
                ":4: scenario.retries: is one of none, at_once", ":5: scenario.zone_share: must be a list",
                "faults[0].do: is one of restart_node", "variants[0].policy: is one of sedgeyoke",
                ":13: compare.base: is no variant; there are a")) {
            assertTrue(bad.getMessage().contains(said), said + " is not in:\n" + bad.getMessage());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "variants = 3", "[scenario", "[[variants]]\nname = 3", "title = 7\n[[variants]]\n"})
    void whatIsNoExperimentIsRefused(String text) throws Exception {
        Path file = file(text);
        assertTrue(assertThrows(BadExperiment.class, () -> ExperimentFile.load(file)).getMessage().contains("e.toml"));
    }

    @Test
    void aFileThatIsNotThereIsRefused() {
        assertThrows(BadExperiment.class, () -> ExperimentFile.load(folder.resolve("none.toml")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"theory", "planners", "peers"})
    void whatIsShippedCanBeRead(String name) throws Exception {
        assertEquals(name, ExperimentFile.load(Path.of("experiments", name + ".toml")).name());
    }

    @Test
    void anIntervalHoldsTheMeanAndTellsChanceFromGain() {
        double[] base = {0.5, 0.6, 0.7, 0.8, 0.9, 0.4, 0.3, 0.2};
        double[] better = new double[base.length];
        double[] noise = new double[base.length];
        for (int i = 0; i < base.length; i++) {
            better[i] = base[i] + 0.01 + 0.001 * i;
            noise[i] = base[i] + (i % 2 == 0 ? 0.01 : -0.01);
        }
        Paired gain = Paired.of(better, base);
        assertTrue(gain.low() > 0.01 && gain.low() < gain.mean() && gain.mean() < gain.high());
        assertEquals(8, gain.wins());
        Paired none = Paired.of(noise, base);
        assertTrue(none.low() < 0 && none.high() > 0);
        assertEquals(4, none.losses());
        assertEquals(new Paired(0, 0, 0, 0, 0), Paired.of(base, base));
    }
}
