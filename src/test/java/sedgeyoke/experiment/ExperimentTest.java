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
        return play(SMALL, jobs, out, false, new StringWriter());
    }

    private ObjectNode play(String text, int jobs, Path out, boolean resume, StringWriter said) throws Exception {
        return new Experiment(
                        ExperimentFile.load(file(text)),
                        new Experiment.Options(3, 3, jobs, out, resume),
                        new PrintWriter(said))
                .run();
    }

    /** Whatever ended the program, what was finished is not played again, and nothing differs in the end. */
    @Test
    void anExperimentThatWasBrokenOffGoesOn() throws Exception {
        Path out = folder.resolve("whole");
        ObjectNode whole = play(1, out);
        String all = Files.readString(out.resolve("runs.jsonl"));
        List<String> lines = all.lines().toList();
        Path cut = Files.createDirectories(folder.resolve("cut"));
        Files.writeString(
                cut.resolve("runs.jsonl"),
                lines.get(7) + "\n" + lines.get(2) + "\n"
                        + lines.get(5).substring(0, 200)); // the last one was being written
        StringWriter said = new StringWriter();
        assertEquals(whole, play(SMALL, 2, cut, true, said));
        assertEquals(all, Files.readString(cut.resolve("runs.jsonl")));
        assertTrue(said.toString().contains("7 of 7 runs"), said.toString());
        assertEquals(whole, play(SMALL, 2, cut, true, new StringWriter()), "and once more, with nothing left to play");
    }

    @Test
    void runsOfAnotherFileAreNotMixedIn() throws Exception {
        Path out = folder.resolve("out");
        play(2, out);
        String before = Files.readString(out.resolve("runs.jsonl"));
        InvalidExperimentException bad = assertThrows(
                InvalidExperimentException.class,
                () -> play(SMALL.replace("0.5", "0.6"), 2, out, true, new StringWriter()));
        assertTrue(bad.getMessage().contains("runs.jsonl:1: file_sha256: is of another file"), bad.getMessage());
        assertEquals(before, Files.readString(out.resolve("runs.jsonl")));
        Files.writeString(out.resolve("runs.jsonl"), before.replaceFirst("\n", "\nnoise\n"));
        assertTrue(assertThrows(InvalidExperimentException.class, () -> play(SMALL, 2, out, true, new StringWriter()))
                .getMessage()
                .contains("runs.jsonl:2: is no run"));
        Files.writeString(out.resolve("runs.jsonl"), "{\"schema\":1}\n");
        assertTrue(assertThrows(InvalidExperimentException.class, () -> play(SMALL, 2, out, true, new StringWriter()))
                .getMessage()
                .contains("schema: is 1"));
    }

    @Test
    void theReportIsOnePageWithAllItNeeds() throws Exception {
        Path out = folder.resolve("out");
        ObjectNode figures = play("title = \"</script><b>\"\n" + SMALL, 2, out, false, new StringWriter());
        String page = Files.readString(out.resolve("report.html"));
        assertTrue(page.contains("\\u003c/script>") && !page.contains("</script><b>"), "a title ends no script");
        assertTrue(!page.matches("(?s).*(src|href)\\s*=\\s*[\"']?(https?:)?//.*"), "nothing is fetched");
        assertTrue(page.contains("echarts") && page.length() > 500_000, "the library stands in it");
        assertTrue(page.contains(figures.toString().replace("<", "\\u003c")));
        for (String drawn : List.of(
                "service_by_second",
                "mean_ms_by_second",
                "latency_ms",
                "cold_peak",
                "replace_node",
                "kill_planner",
                "\"n0\":")) {
            assertTrue(page.contains(drawn), drawn);
        }
    }

    @Test
    void aSweepComparesAtEachOfItsPoints() throws Exception {
        Path out = folder.resolve("out");
        ObjectNode figures = play(
                SMALL + "[[sweep]]\nkey = \"forwarders\"\nvalues = [3, 6]\n"
                        + "[[sweep]]\nkey = \"load\"\nvalues = [0.3, 0.5]\n",
                4,
                out,
                false,
                new StringWriter());
        assertEquals(4, figures.path("points").size());
        assertEquals(
                6, figures.path("points").get(2).path("at").path("forwarders").asInt());
        assertEquals(0.3, figures.path("points").get(2).path("at").path("load").asDouble());
        assertTrue(figures.path("points").get(3).has("service_gain_low"));
        assertEquals(4 * 9, Files.readAllLines(out.resolve("runs.jsonl")).size());
        ObjectNode alone = play(2, null);
        assertEquals(
                alone.path("service"),
                figures.path("points").get(1).path("service"),
                "the point with the file's own values is the file without a sweep");
    }

    /** A day changes some of the scenario and adds faults; what it does not name is the file's. */
    @Test
    void daysArePlayedEachWithItsOwnScenarioAndFaults() throws Exception {
        String days = "[[days]]\nname = \"calm\"\n[[days]]\nname = \"busy\"\n[days.scenario]\nload = 0.9\n"
                + "[[days.faults]]\nat = 1\ndo = \"slow_node\"\nvalue = 5\n";
        ObjectNode figures = play(SMALL + days, 4, null, false, new StringWriter());
        assertEquals(
                "calm", figures.path("points").get(0).path("at").path("day").asText());
        assertEquals(
                play(2, null).path("service"), figures.path("points").get(0).path("service"));
        assertEquals(
                "busy", figures.path("points").get(1).path("at").path("day").asText());
        assertTrue(
                figures.path("points").get(1).path("service").path("none").asDouble()
                        < figures.path("points")
                                .get(0)
                                .path("service")
                                .path("none")
                                .asDouble(),
                figures.toString());
        assertTrue(assertThrows(
                        InvalidExperimentException.class,
                        () -> play(SMALL + days.replace("load", "lode"), 1, null, false, new StringWriter()))
                .getMessage()
                .contains("lode: is not known"));
        assertTrue(assertThrows(
                        InvalidExperimentException.class,
                        () -> play(SMALL + days.replace("busy", "calm"), 1, null, false, new StringWriter()))
                .getMessage()
                .contains("days[1].name: must be there"));
    }

    @Test
    void theSameFiguresHoweverManyRunsGoSideBySide() throws Exception {
        ObjectNode alone = play(1, folder.resolve("a"));
        ObjectNode together = play(4, folder.resolve("b"));
        assertEquals(alone, together);
        assertEquals(
                Files.readString(folder.resolve("a/runs.jsonl")), Files.readString(folder.resolve("b/runs.jsonl")));
        assertEquals(9, Files.readAllLines(folder.resolve("a/runs.jsonl")).size());
        assertEquals(10, Files.readAllLines(folder.resolve("a/runs.csv")).size());
        for (String figure : List.of(
                "service_gain",
                "service_gain_low",
                "warm_up_s",
                "warm_up_s_without",
                "ratio_failing",
                "rule_violations",
                "cold_peak_share_of_budget")) {
            assertTrue(alone.has(figure), figure);
        }
        assertTrue(alone.path("service_gain_low").asDouble()
                <= alone.path("service_gain").asDouble());
    }

    @Test
    void allThatIsWrongInAFileIsSaidWithItsLine() throws Exception {
        InvalidExperimentException bad = assertThrows(
                InvalidExperimentException.class,
                () -> ExperimentFile.load(file("[scenario]\nnodes = 0\n"
                        + "nods = 3\nretries = \"often\"\nzone_share = [1]\n[[faults]]\nat = 2\ndo = \"explode\"\n"
                        + "[[variants]]\nname = \"a\"\npolicy = \"magic\"\n[compare]\nbase = \"b\"\n")));
        for (String said : List.of(
                ":2: scenario.nodes: must be a whole number from 1",
                ":3: scenario.nods: is not known",
                ":4: scenario.retries: is one of none, at_once",
                ":5: scenario.zone_share: must be a list",
                "faults[0].do: is one of restart_node",
                "variants[0].policy: is one of sedgeyoke",
                ":13: compare.base: is no variant; there are a")) {
            assertTrue(bad.getMessage().contains(said), said + " is not in:\n" + bad.getMessage());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "variants = 3", "[scenario", "[[variants]]\nname = 3", "title = 7\n[[variants]]\n"})
    void whatIsNoExperimentIsRefused(String text) throws Exception {
        Path file = file(text);
        assertTrue(assertThrows(InvalidExperimentException.class, () -> ExperimentFile.load(file))
                .getMessage()
                .contains("e.toml"));
    }

    @Test
    void aFileThatIsNotThereIsRefused() {
        assertThrows(InvalidExperimentException.class, () -> ExperimentFile.load(folder.resolve("none.toml")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"theory", "planners", "peers", "hunt", "sizes"})
    void whatIsShippedCanBeRead(String name) throws Exception {
        assertEquals(
                name,
                ExperimentFile.load(Path.of("experiments", name + ".toml")).name());
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
        PairedBootstrap gain = PairedBootstrap.of(better, base);
        assertTrue(gain.low() > 0.01 && gain.low() < gain.mean() && gain.mean() < gain.high());
        assertEquals(8, gain.wins());
        PairedBootstrap none = PairedBootstrap.of(noise, base);
        assertTrue(none.low() < 0 && none.high() > 0);
        assertEquals(4, none.losses());
        assertEquals(new PairedBootstrap(0, 0, 0, 0, 0), PairedBootstrap.of(base, base));
    }
}
