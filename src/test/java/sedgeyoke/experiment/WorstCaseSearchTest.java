package sedgeyoke.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.simulation.Outcome;
import sedgeyoke.simulation.Simulation;

/** A hunt must find what is there to be found, make it small, and write down what shows it again. */
class WorstCaseSearchTest {
    /** Random choice knows no cold nodes: any restart under load breaks rule 4. */
    private static final String COLD = "[scenario]\nnodes = 6\nforwarders = 6\nseconds = 8\nload = 0.7\nwarm_up = 1\n"
            + "[[variants]]\nname = \"blind\"\npolicy = \"random\"\n[hunt]\nvariant = \"blind\"\ntries = 6\n"
            + "most_faults = 5\nkinds = [\"restart_node\", \"pause_forwarder\", \"discovery_down\"]\n"
            + "[hunt.ranges]\nnodes = [4, 8]\nload = [0.6, 0.8]\n";

    private static final String LOSS = "[scenario]\nnodes = 6\nforwarders = 6\nseconds = 6\nload = 0.7\n"
            + "[[variants]]\nname = \"ours\"\n[[variants]]\nname = \"blind\"\npolicy = \"random\"\n"
            + "[hunt]\nvariant = \"blind\"\nagainst = \"ours\"\ntries = 4\nmost_faults = 3\nkinds = [\"slow_node\"]\n"
            + "[hunt.ranges]\nload = [0.5, 0.8]\n";

    @TempDir
    private Path folder;

    private ObjectNode hunt(String text, int jobs) throws Exception {
        Path file = Files.writeString(folder.resolve("h.toml"), text);
        return new WorstCaseSearch(ExperimentFile.load(file), 5, jobs, folder, new PrintWriter(new StringWriter()))
                .run();
    }

    @Test
    void aBrokenRuleIsFoundMadeSmallAndShownAgain() throws Exception {
        ObjectNode found = hunt(COLD, 4);
        assertTrue(found.path("rule_broken").asBoolean(), found.toString());
        assertEquals(1, found.path("faults").asInt(), "one restart is enough: " + found);
        ExperimentFile again = ExperimentFile.load(Path.of(found.path("file").asText()));
        assertEquals("blind", again.comparison().base());
        Outcome played = new Simulation(again.points().get(0).variants().get("blind"), 5).run();
        assertTrue(played.totalViolations() > 0, "what was written shows it");
    }

    @Test
    void whatAVariantLosesAgainstAnotherIsFound() throws Exception {
        ObjectNode found = hunt(LOSS, 4);
        assertTrue(found.path("found").asBoolean() && !found.path("rule_broken").asBoolean(), found.toString());
        assertTrue(found.path("loss").asDouble() > 0.002, found.toString());
        ExperimentFile again = ExperimentFile.load(Path.of(found.path("file").asText()));
        assertEquals("ours", again.comparison().base());
        assertEquals("blind", again.comparison().with());
    }

    @Test
    void theSameHoweverManyRunsGoSideBySide() throws Exception {
        ObjectNode alone = hunt(LOSS, 1);
        String written = Files.readString(Path.of(alone.path("file").asText()));
        assertEquals(alone, hunt(LOSS, 3));
        assertEquals(written, Files.readString(Path.of(alone.path("file").asText())));
    }

    @Test
    void nothingIsFoundWhereNothingIs() throws Exception {
        ObjectNode none = hunt(
                LOSS.replace("variant = \"blind\"\nagainst = \"ours\"", "variant = \"ours\"\nagainst = \"blind\""), 4);
        assertFalse(none.path("found").asBoolean(), none.toString());
        assertFalse(none.has("file"));
    }

    @Test
    void aFileThatIsWrongSaysWhere() throws Exception {
        Path file = Files.writeString(
                folder.resolve("w.toml"),
                COLD.replace("[4, 8]", "[8, 4]")
                        .replace("\"restart_node\"", "\"explode\"")
                        .replace("variant = \"blind\"", "variant = \"none\""));
        String said = assertThrows(InvalidExperimentException.class, () -> ExperimentFile.load(file))
                .getMessage();
        for (String wrong : new String[] {
            "w.toml:16: hunt.ranges.nodes: must be [least, most]",
            "w.toml:14: hunt.kinds: must be a list of some of restart_node",
            "w.toml:11: hunt.variant: is no variant"
        }) {
            assertTrue(said.contains(wrong), wrong + " is not in:\n" + said);
        }
    }
}
