package sedgeyoke.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import sedgeyoke.emulate.Emulation;
import sedgeyoke.emulate.Outcome;
import sedgeyoke.emulate.Scenario;
import sedgeyoke.emulate.Theory;

/** Plays all variants of an experiment with the same seeds, side by side, and says what differs. */
public final class Experiment {
    /** Of the lines in {@code runs.jsonl}; see docs/experiments.md. */
    private static final int SCHEMA = 1;
    private static final int MOST_BROKEN = 10;
    private static final double THEORY_SCALE = 1;
    private static final double THEORY_WITHIN = 0.03;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ExperimentFile file;
    private final long firstSeed;
    private final int seeds;
    private final int jobs;
    private final Path out;
    private final PrintWriter say;

    /** {@code out} is a folder for the runs, or null; progress goes to {@code say}. */
    public Experiment(ExperimentFile file, long firstSeed, int seeds, int jobs, Path out, PrintWriter say) {
        this.file = file;
        this.firstSeed = firstSeed;
        this.seeds = seeds;
        this.jobs = jobs;
        this.out = out;
        this.say = say;
    }

    /** Plays it and returns the figures; {@code ok} is false where a rule was broken or theory is missed. */
    public ObjectNode run() throws IOException, InterruptedException {
        return file.theory() ? theory() : compare();
    }

    private ObjectNode theory() {
        List<Theory.Check> checks = Theory.checks(THEORY_SCALE, firstSeed);
        double worst = 0;
        for (Theory.Check c : checks) {
            say.printf(Locale.ROOT, "%-70s expected %.5f, seen %.5f, off by %.2f%%%n", c.name(), c.expected(), c.seen(),
                    100 * c.relativeError());
            worst = Math.max(worst, c.relativeError());
        }
        say.flush();
        return JSON.createObjectNode().put("experiment", file.name()).put("seed", firstSeed)
                .put("checks", checks.size()).put("worst_relative_error", round(worst))
                .put("ok", worst <= THEORY_WITHIN);
    }

    private ObjectNode compare() throws IOException, InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs, task -> {
            Thread thread = new Thread(task, "run");
            thread.setDaemon(true);
            return thread;
        });
        Map<String, List<Future<Outcome>>> runs = new LinkedHashMap<>();
        AtomicInteger done = new AtomicInteger();
        long startedAt = System.nanoTime();
        try {
            file.variants().keySet().forEach(v -> runs.put(v, new ArrayList<>()));
            for (int i = 0; i < seeds; i++) {
                long seed = firstSeed + i;
                for (Map.Entry<String, Scenario> v : file.variants().entrySet()) {
                    runs.get(v.getKey()).add(pool.submit(() -> {
                        Outcome o = new Emulation(v.getValue(), seed).run();
                        progress(done.incrementAndGet(), startedAt);
                        return o;
                    }));
                }
            }
            Map<String, List<Outcome>> outcomes = new LinkedHashMap<>();
            for (Map.Entry<String, List<Future<Outcome>>> v : runs.entrySet()) {
                List<Outcome> all = new ArrayList<>();
                for (Future<Outcome> f : v.getValue()) {
                    all.add(f.get());
                }
                outcomes.put(v.getKey(), all);
            }
            write(outcomes);
            return figures(outcomes);
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private synchronized void progress(int done, long startedAt) {
        int all = seeds * file.variants().size();
        double took = (System.nanoTime() - startedAt) / 1e9;
        if (done % Math.max(1, all / 10) == 0) {
            say.printf(Locale.ROOT, "%d of %d runs, about %.0f s left%n", done, all, took / done * (all - done));
            say.flush();
        }
    }

    // ---- Figures -------------------------------------------------------------------------------------

    private static double[] each(List<Outcome> outcomes, ToDoubleFunction<Outcome> figure) {
        return outcomes.stream().mapToDouble(figure).toArray();
    }

    private static double mean(List<Outcome> outcomes, ToDoubleFunction<Outcome> figure) {
        return outcomes.stream().mapToDouble(figure).average().orElse(0);
    }

    private static double round(double figure) {
        return Math.round(figure * 1e5) / 1e5;
    }

    private ObjectNode figures(Map<String, List<Outcome>> outcomes) {
        ObjectNode figures = JSON.createObjectNode().put("experiment", file.name()).put("seeds", seeds)
                .put("first_seed", firstSeed);
        ObjectNode service = figures.putObject("service");
        ObjectNode variants = figures.putObject("variants");
        List<Outcome> base = outcomes.get(file.base());
        outcomes.forEach((name, all) -> {
            service.put(name, round(mean(all, Outcome::service)));
            ObjectNode v = variants.putObject(name).put("service", round(mean(all, Outcome::service)))
                    .put("p50_ms", round(mean(all, o -> o.percentileMs(50))))
                    .put("p99_ms", round(mean(all, o -> o.percentileMs(99))))
                    .put("attempts_per_request", round(mean(all, Outcome::attemptsPerRequest)))
                    .put("utilisation", round(mean(all, Outcome::utilisation)))
                    .put("warm_up_s", round(mean(all, Outcome::warmUp)))
                    .put("cold_peak_share_of_budget", round(all.stream().mapToDouble(Outcome::coldPeak).max()
                            .orElse(0)))
                    .put("rule_violations", all.stream().mapToInt(Outcome::ruleViolations).sum());
            if (!name.equals(file.base())) {
                put(v.putObject("service_over_" + file.base()), Paired.of(each(all, Outcome::service),
                        each(base, Outcome::service)));
            }
            say.println(name + " " + v);
        });
        say.flush();
        return conclude(figures, outcomes);
    }

    private static void put(ObjectNode to, Paired p) {
        to.put("mean", round(p.mean())).put("low", round(p.low())).put("high", round(p.high())).put("wins", p.wins())
                .put("losses", p.losses());
    }

    /** The figures that an experiment with two sides is judged by; rules count in ours alone. */
    private ObjectNode conclude(ObjectNode figures, Map<String, List<Outcome>> outcomes) {
        List<String> broken = new ArrayList<>();
        double cold = 0;
        for (Map.Entry<String, List<Outcome>> v : outcomes.entrySet()) {
            if (file.variants().get(v.getKey()).policy().equals(sedgeyoke.emulate.Policies.OURS)) {
                for (Outcome o : v.getValue()) {
                    o.broken().forEach(text -> broken.add(v.getKey() + ", seed " + o.seed() + ": " + text));
                    cold = Math.max(cold, o.coldPeak());
                }
            }
        }
        figures.put("rule_violations", broken.size()).put("cold_peak_share_of_budget", round(cold));
        broken.stream().limit(MOST_BROKEN).forEach(figures.withArray("violations")::add);
        if (!file.with().isEmpty()) {
            List<Outcome> with = outcomes.get(file.with());
            List<Outcome> without = outcomes.get(file.base());
            Paired gain = Paired.of(each(with, Outcome::service), each(without, Outcome::service));
            figures.put("service_gain", round(gain.mean())).put("service_gain_low", round(gain.low()))
                    .put("service_gain_high", round(gain.high())).put("warm_up_s", round(mean(with, Outcome::warmUp)))
                    .put("warm_up_s_without", round(mean(without, Outcome::warmUp)));
            if (!file.failing().isEmpty()) {
                List<Outcome> failing = outcomes.get(file.failing());
                double least = 1;
                for (int i = 0; i < seeds; i++) {
                    least = Math.min(least, failing.get(i).service() / with.get(i).service());
                }
                figures.put("ratio_failing", round(mean(failing, Outcome::service) / mean(with, Outcome::service)))
                        .put("ratio_failing_least", round(least));
            }
        }
        return figures.put("ok", broken.isEmpty());
    }

    // ---- Files ---------------------------------------------------------------------------------------

    private void write(Map<String, List<Outcome>> outcomes) throws IOException {
        if (out == null) {
            return;
        }
        Files.createDirectories(out);
        List<String> lines = new ArrayList<>();
        List<String> csv = new ArrayList<>(List.of("variant,seed,service,requests,attempts,p50_ms,p99_ms,warm_up_s,"
                + "cold_peak,utilisation,rule_violations"));
        outcomes.forEach((name, all) -> all.forEach(o -> {
            ObjectNode run = JSON.createObjectNode().put("schema", SCHEMA).put("experiment", file.name())
                    .put("variant", name).put("seed", o.seed()).put("service", o.service())
                    .put("requests", o.requests())
                    .put("attempts", o.attempts()).put("p50_ms", o.percentileMs(50)).put("p99_ms", o.percentileMs(99))
                    .put("warm_up_s", o.warmUp()).put("cold_peak", o.coldPeak()).put("utilisation", o.utilisation())
                    .put("rule_violations", o.ruleViolations()).put("events", o.events());
            o.broken().forEach(run.withArray("violations")::add);
            o.seconds().forEach(s -> run.withArray("service_by_second").add(round(s.service())));
            lines.add(run.toString());
            csv.add(String.format(Locale.ROOT, "%s,%d,%.5f,%d,%d,%.2f,%.2f,%.2f,%.4f,%.4f,%d", name, o.seed(),
                    o.service(), o.requests(), o.attempts(), o.percentileMs(50), o.percentileMs(99), o.warmUp(),
                    o.coldPeak(), o.utilisation(), o.ruleViolations()));
        }));
        Files.write(out.resolve("runs.jsonl"), lines);
        Files.write(out.resolve("runs.csv"), csv);
    }
}
