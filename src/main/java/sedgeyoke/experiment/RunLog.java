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
 * Stores the runs of an experiment in a folder: {@code runs.jsonl}, to which each finished run is appended, and
 * {@code runs.csv} with their figures. After an interruption, an incomplete last line is dropped and its run repeated.
 */
final class RunLog {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String CSV_HEADER = "point,variant,seed,service,requests,attempts,p50_ms,p99_ms,"
            + "warm_up_s,cold_peak,utilisation,handshakes_per_request,crossings_per_request,rule_violations";

    private final Path runsFile;
    private final Path tableFile;

    /** Opens the log in a folder, which is created if it does not exist. */
    RunLog(Path folder) throws IOException {
        Files.createDirectories(folder);
        this.runsFile = folder.resolve("runs.jsonl");
        this.tableFile = folder.resolve("runs.csv");
    }

    /** Reads the stored runs; throws if a line is invalid or belongs to a different experiment file. */
    Map<Run.Key, Run> read(ExperimentFile experiment) throws IOException, InvalidExperimentException {
        Map<Run.Key, Run> runs = new LinkedHashMap<>();
        String text;
        try {
            text = Files.readString(runsFile);
        } catch (NoSuchFileException e) {
            return runs;
        }
        List<String> lines = text.lines().toList();
        boolean lastIsComplete = text.isEmpty() || text.endsWith("\n");
        int completeLines = lastIsComplete ? lines.size() : lines.size() - 1;
        for (int i = 0; i < completeLines; i++) {
            Run run = parse(lines.get(i), i + 1);
            if (!run.fileSha256().equals(experiment.digest())) {
                throw invalid(i + 1, "file_sha256", "is of a different experiment file or version; use another --out");
            }
            runs.put(run.key(), run);
        }
        if (!lastIsComplete) {
            write(List.copyOf(runs.values()));
        }
        return runs;
    }

    private Run parse(String text, int line) throws InvalidExperimentException {
        try {
            int schema = JSON.readTree(text).path("schema").asInt();
            if (schema != Run.SCHEMA) {
                throw invalid(line, "schema", "is " + schema + "; this version supports only " + Run.SCHEMA);
            }
            return JSON.readValue(text, Run.class);
        } catch (JsonProcessingException e) {
            String reason = e.getOriginalMessage().lines().findFirst().orElse("");
            throw invalid(line, "", "is not a valid run: " + reason);
        }
    }

    private InvalidExperimentException invalid(int line, String key, String message) {
        return new InvalidExperimentException(List.of(new ConfigProblem(runsFile.toString(), line, key, message)));
    }

    /** Deletes the stored runs. */
    void clear() throws IOException {
        Files.deleteIfExists(runsFile);
    }

    /** Appends a run; thread-safe. */
    synchronized void append(Run run) throws IOException {
        Files.writeString(
                runsFile,
                JSON.writeValueAsString(run) + "\n",
                StandardCharsets.UTF_8,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND);
    }

    /** Rewrites {@code runs.jsonl} with all runs in the given order, and writes {@code runs.csv}. */
    void finish(List<Run> runs) throws IOException {
        write(runs);
        List<String> csv = new ArrayList<>(List.of(CSV_HEADER));
        for (Run run : runs) {
            csv.add(csvLine(run));
        }
        Files.write(tableFile, csv);
    }

    private static String csvLine(Run run) {
        return String.format(
                Locale.ROOT,
                "%s,%s,%d,%.5f,%d,%d,%.2f,%.2f,%.2f,%.4f,%.4f,%.4f,%.4f,%d",
                run.point(),
                run.variant(),
                run.seed(),
                run.service(),
                run.requests(),
                run.attempts(),
                run.p50Ms(),
                run.p99Ms(),
                run.warmUpS(),
                run.coldPeak(),
                run.utilisation(),
                run.handshakesPerRequest(),
                run.crossingsPerRequest(),
                run.ruleViolations());
    }

    private void write(List<Run> runs) throws IOException {
        StringBuilder text = new StringBuilder();
        for (Run run : runs) {
            text.append(JSON.writeValueAsString(run)).append('\n');
        }
        Path next = runsFile.resolveSibling("runs.next");
        Files.writeString(next, text);
        Files.move(next, runsFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
