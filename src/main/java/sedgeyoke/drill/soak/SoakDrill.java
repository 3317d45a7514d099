package sedgeyoke.drill.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

/** Runs a soak for each seed and summarizes the results. */
public final class SoakDrill {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int TIMELINE_LINES = 60;

    private final SoakOptions options;
    private final PrintWriter out;

    /** Progress goes to {@code out}. */
    public SoakDrill(SoakOptions options, PrintWriter out) {
        this.options = options;
        this.out = out;
    }

    /** Runs all seeds; {@code ok} is false in the result if there was a violation or a process failed. */
    public ObjectNode run() throws IOException, InterruptedException {
        return summary(runAll());
    }

    List<SoakRun.Result> runAll() throws IOException, InterruptedException {
        out.println(
                options.shim() == null
                        ? "no fault library: system calls do not fail and clocks are not stepped"
                        : "system call faults injected by " + options.shim());
        ExecutorService runs = Executors.newFixedThreadPool(options.parallel());
        try {
            List<Future<SoakRun.Result>> futures = new ArrayList<>();
            for (int i = 0; i < options.seeds(); i++) {
                long seed = options.firstSeed() + i;
                futures.add(runs.submit(() -> runOne(seed)));
            }
            List<SoakRun.Result> results = new ArrayList<>();
            for (Future<SoakRun.Result> future : futures) {
                results.add(future.get());
            }
            return results;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        } finally {
            runs.shutdownNow();
        }
    }

    private SoakRun.Result runOne(long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("soak-" + seed + "-");
        SoakRun.Result result = new SoakRun(options, seed).run(folder);
        print(seed, result, folder);
        if (result.broken().isEmpty()) {
            delete(folder);
        }
        return result;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    private synchronized void print(long seed, SoakRun.Result result, Path folder) {
        out.println("seed " + seed + ": " + result.plan().describe() + ", "
                + result.summary().requests() + " requests, faults " + result.faults() + ", answers "
                + result.summary().answers() + ", limits used " + rounded(result.margins())
                + (result.broken().isEmpty() ? ", ok" : ", BROKEN"));
        if (!result.broken().isEmpty()) {
            result.broken().forEach(text -> out.println("  " + text));
            result.timeline().stream().limit(TIMELINE_LINES).forEach(line -> out.println("    " + line));
            out.println("  logs of the balancers: " + folder);
            out.println("  to reproduce: bin/sedgeyoke drill soak --seed " + seed + " --seeds 1 --seconds "
                    + options.seconds()
                    + " --balancers " + options.maxBalancers()
                    + (options.shim() == null ? "" : " --shim " + options.shim()));
        }
        out.flush();
    }

    private static Map<String, Double> rounded(Map<String, Double> margins) {
        Map<String, Double> rounded = new TreeMap<>();
        margins.forEach((name, value) -> rounded.put(name, Math.round(value * 100) / 100.0));
        return rounded;
    }

    private ObjectNode summary(List<SoakRun.Result> results) {
        ObjectNode json = JSON.createObjectNode()
                .put("drill", "soak")
                .put("seed", options.firstSeed())
                .put("seeds", options.seeds())
                .put("seconds", options.seconds())
                .put("system_faults", options.shim() != null);
        long requests = 0;
        int faults = 0;
        Map<String, Double> worst = new TreeMap<>();
        Map<String, long[]> histograms = new TreeMap<>();
        ArrayNode broken = json.putArray("broken");
        for (SoakRun.Result result : results) {
            requests += result.summary().requests();
            faults += result.faults().values().stream()
                    .mapToInt(Integer::intValue)
                    .sum();
            result.margins().forEach((name, value) -> worst.merge(name, value, Math::max));
            result.histograms().forEach((name, counts) -> add(histograms, name, counts));
            result.broken().forEach(text -> broken.add("seed " + result.plan().seed() + ": " + text));
        }
        json.put("requests", requests).put("faults", faults);
        ObjectNode limits = json.putObject("limits_used");
        rounded(worst).forEach(limits::put);
        ObjectNode tenths = json.putObject("limits_by_tenth");
        histograms.forEach((name, counts) -> {
            ArrayNode array = tenths.putArray(name);
            for (long count : counts) {
                array.add(count);
            }
        });
        return json.put("ok", broken.isEmpty());
    }

    private static void add(Map<String, long[]> histograms, String name, List<Long> counts) {
        long[] sum = histograms.computeIfAbsent(name, unused -> new long[counts.size()]);
        for (int i = 0; i < counts.size(); i++) {
            sum[i] += counts.get(i);
        }
    }
}
