package sedgeyoke.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sedgeyoke.settings.ConfigProblem;

/**
 * The runs of an experiment in its folder. Each is added as it ends, so that whatever ends the program leaves what was
 * finished; a last line that is not whole is what was being written then, and is played again.
 */
final class RunLog {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Path lines;
    private final Path table;

    RunLog(Path folder) throws IOException {
        Files.createDirectories(folder);
        this.lines = folder.resolve("runs.jsonl");
        this.table = folder.resolve("runs.csv");
    }

    /** The runs that are there; throws where they are of another experiment, or no runs at all. */
    Map<Run.Key, Run> read(ExperimentFile of) throws IOException, InvalidExperimentException {
        Map<Run.Key, Run> runs = new LinkedHashMap<>();
        String text;
        try {
            text = Files.readString(lines);
        } catch (NoSuchFileException e) {
            return runs;
        }
        List<String> all = text.lines().toList();
        int whole = text.isEmpty() || text.endsWith("\n") ? all.size() : all.size() - 1;
        for (int i = 0; i < whole; i++) {
            Run run = parse(all.get(i), i + 1);
            if (!run.fileSha256().equals(of.digest())) {
                throw bad(i + 1, "file_sha256", "is of another file or another state of it; choose another --out");
            }
            runs.put(run.key(), run);
        }
        if (whole < all.size()) {
            write(List.copyOf(runs.values()));
        }
        return runs;
    }

    private Run parse(String line, int number) throws InvalidExperimentException {
        try {
            int schema = JSON.readTree(line).path("schema").asInt();
            if (schema != Run.SCHEMA) {
                throw bad(number, "schema", "is " + schema + "; this program goes on with " + Run.SCHEMA);
            }
            return JSON.readValue(line, Run.class);
        } catch (JsonProcessingException e) {
            throw bad(
                    number,
                    "",
                    "is no run: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
    }

    private InvalidExperimentException bad(int line, String key, String message) {
        return new InvalidExperimentException(List.of(new ConfigProblem(lines.toString(), line, key, message)));
    }

    /** Begins anew. */
    void clear() throws IOException {
        Files.deleteIfExists(lines);
    }

    /** Adds one; runs end on several threads. */
    synchronized void add(Run run) throws IOException {
        Files.writeString(
                lines,
                JSON.writeValueAsString(run) + "\n",
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    /** All of them in order, whatever order they ended in, and the table of their figures. */
    void finish(List<Run> runs) throws IOException {
        write(runs);
        List<String> csv = new ArrayList<>(List.of("point,variant,seed,service,requests,attempts,p50_ms,p99_ms,"
                + "warm_up_s,cold_peak,utilisation,handshakes_per_request,crossings_per_request,rule_violations"));
        for (Run r : runs) {
            csv.add(String.format(
                    Locale.ROOT,
                    "%s,%s,%d,%.5f,%d,%d,%.2f,%.2f,%.2f,%.4f,%.4f,%.4f,%.4f,%d",
                    r.point(),
                    r.variant(),
                    r.seed(),
                    r.service(),
                    r.requests(),
                    r.attempts(),
                    r.p50Ms(),
                    r.p99Ms(),
                    r.warmUpS(),
                    r.coldPeak(),
                    r.utilisation(),
                    r.handshakesPerRequest(),
                    r.crossingsPerRequest(),
                    r.ruleViolations()));
        }
        Files.write(table, csv);
    }

    private void write(List<Run> runs) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Run r : runs) {
            text.append(JSON.writeValueAsString(r)).append('\n');
        }
        Path next = lines.resolveSibling("runs.next");
        Files.writeString(next, text);
        Files.move(next, lines, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
