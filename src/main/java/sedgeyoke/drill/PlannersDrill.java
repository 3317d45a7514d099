package sedgeyoke.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.standin.FaultProxy;
import sedgeyoke.standin.Site;

/**
 * Planners that fail while forwarders serve. The same site, traffic and troubles of nodes are played three times side
 * by side: with planners that are killed, stalled and cut off; with planners that are left alone; and without any.
 */
public final class PlannersDrill {
    private static final int PLANNERS = 3;
    private static final int FORWARDERS = 6;
    private static final int NODES = 12;
    /** Requests are asked for at this share of what the nodes carry while their keys are cold. */
    public static final String USUAL_LOAD = "0.62";

    private static final int MOST_VIOLATIONS = 10;
    private static final double[] EVEN = {0.4, 0.3, 0.3};
    private static final double OVERFLOW = 1.1;
    private static final int START_WITHIN_S = 90;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final int seconds;
    private final long seed;
    private final PrintWriter out;
    private final double load;
    private final CyclicBarrier start = new CyclicBarrier(Mode.values().length);
    private int kills;

    /** How planners fare in one of the runs. */
    private enum Mode {
        FAILING,
        QUIET,
        NONE
    }

    /** A run's figures, the true utilisation of its nodes, and the first rules broken in words. */
    private record Played(
            InvariantChecker.Summary summary, double utilisation, double stalledMs, List<String> violations) {}

    /** Prints what happens to {@code out}; {@code load} is asked for as a share of what nodes with cold keys carry. */
    public PlannersDrill(int seconds, long seed, double load, PrintWriter out) {
        this.seconds = seconds;
        this.seed = seed;
        this.load = load;
        this.out = out;
    }

    /** Plays all three and returns the figures; {@code ok} is false if one is short of what is promised. */
    public ObjectNode run() throws IOException, InterruptedException {
        List<CompletableFuture<Played>> runs = Stream.of(Mode.values())
                .map(mode -> CompletableFuture.supplyAsync(() -> playQuietly(mode), task -> new Thread(task).start()))
                .toList();
        List<Played> played = new ArrayList<>();
        for (CompletableFuture<Played> run : runs) {
            try {
                played.add(run.join());
            } catch (CompletionException e) {
                throw new IOException(e.getCause());
            }
        }
        List<InvariantChecker.Summary> results =
                played.stream().map(Played::summary).toList();
        InvariantChecker.Summary failing = results.get(0);
        InvariantChecker.Summary quiet = results.get(1);
        InvariantChecker.Summary none = results.get(2);
        int violations = results.stream()
                .mapToInt(InvariantChecker.Summary::ruleViolations)
                .sum();
        double coldPeak = results.stream()
                .mapToDouble(InvariantChecker.Summary::coldPeak)
                .max()
                .orElse(0);
        ObjectNode figures = JSON.createObjectNode()
                .put("drill", "planners")
                .put("seed", seed)
                .put("seconds", seconds)
                .put("service", round(failing.service()))
                .put("service_baseline", round(quiet.service()))
                .put("service_no_planners", round(none.service()))
                .put("ratio", round(failing.service() / quiet.service()))
                .put("rule_violations", violations)
                .put("cold_peak_share_of_budget", round(coldPeak))
                .put("planner_kills", kills)
                .put("requests", failing.requests())
                .put("p99_ms", round(failing.p99Ms()))
                .put("p99_ms_no_planners", round(none.p99Ms()))
                .put("load", load)
                .put("utilisation", round(played.get(0).utilisation()))
                .put(
                        "judge_stalled_ms",
                        round(played.stream()
                                .mapToDouble(Played::stalledMs)
                                .max()
                                .orElse(0)));
        ArrayNode broken = figures.putArray("violations");
        for (Mode mode : Mode.values()) {
            played.get(mode.ordinal()).violations().stream()
                    .limit(MOST_VIOLATIONS - broken.size())
                    .forEach(v -> broken.add(mode.toString().toLowerCase(Locale.ROOT) + ": " + v));
        }
        figures.put("ok", failing.service() >= 0.98 * quiet.service() && violations == 0 && coldPeak <= 1);
        return figures;
    }

    private static double round(double figure) {
        return Math.round(figure * 1e4) / 1e4;
    }

    private Played playQuietly(Mode mode) {
        try {
            return play(mode);
        } catch (IOException | InterruptedException e) {
            throw new CompletionException(e);
        }
    }

    private Played play(Mode mode) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("drill-planners");
        List<ProgramProcess> planners = new ArrayList<>();
        List<ProgramProcess> forwarders = new ArrayList<>();
        List<List<FaultProxy>> proxies = new ArrayList<>();
        try (Site site = new Site(Sites.orders(NODES), EVEN, seed)) {
            TierProcesses tier = new TierProcesses(folder);
            List<Integer> ports = new ArrayList<>();
            for (int p = 0; mode != Mode.NONE && p < PLANNERS; p++) {
                ports.add(ProgramProcess.freePort());
                planners.add(tier.planner("p" + p, ports.get(p)));
                planners.get(p).start();
            }
            for (int f = 0; f < FORWARDERS; f++) {
                List<FaultProxy> ways = new ArrayList<>();
                for (int port : ports) {
                    ways.add(new FaultProxy(
                            site.loop(), 0, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
                }
                proxies.add(ways);
                forwarders.add(tier.forwarder(
                        "b" + f,
                        TierProcesses.configuration(
                                site, "b" + f, f % EVEN.length, f, FORWARDERS, 300 + 250L * f, seed * 31 + f),
                        ways.stream().map(w -> w.address().getPort()).toList()));
                forwarders.get(f).start();
            }
            for (int f = 0; f < FORWARDERS; f++) {
                site.balancer(
                        "b" + f,
                        f % EVEN.length,
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(),
                                forwarders.get(f).port()));
            }
            for (ProgramProcess p : planners) {
                p.port();
            }
            awaitTheOthers();
            Thread.sleep(3_000); // the plans' rise to full strength
            long worked = site.worked();
            long since = site.now();
            script(mode, site, planners, proxies);
            double utilisation = site.utilisationSince(worked, since);
            site.stopClients();
            InvariantChecker.Summary summary = site.summary();
            say(mode, describe(summary, utilisation));
            List<String> violations = site.ask(site.ledger()::violations);
            violations.forEach(v -> System.err.println(mode.toString().toLowerCase(Locale.ROOT) + ": " + v));
            proxies.forEach(ways -> ways.forEach(FaultProxy::close));
            return new Played(summary, utilisation, site.ask(site.ledger()::stalledMs), violations);
        } finally {
            planners.forEach(ProgramProcess::close);
            forwarders.forEach(ProgramProcess::close);
            deleteUnlessAsked(folder);
        }
    }

    private static String describe(InvariantChecker.Summary summary, double utilisation) {
        return "service " + round(summary.service()) + ", answers " + summary.answers() + ", p99 "
                + round(summary.p99Ms()) + " ms, cold peak " + round(summary.coldPeak()) + ", rules "
                + summary.violations() + ", utilisation " + round(utilisation);
    }

    /** All runs begin at once: they share the machine, and none is to meet the starts of another. */
    private void awaitTheOthers() throws InterruptedException, IOException {
        try {
            start.await(START_WITHIN_S, TimeUnit.SECONDS);
        } catch (BrokenBarrierException | TimeoutException e) {
            throw new IOException("another run did not start", e);
        }
    }

    private synchronized void say(Mode mode, String text) {
        out.println(String.format("%-8s %s", mode.toString().toLowerCase(), text));
        out.flush();
    }

    /** Files of a run, kept where the system property {@code sedgeyoke.keep} is true. */
    static void deleteUnlessAsked(Path folder) throws IOException {
        if (Boolean.getBoolean("sedgeyoke.keep")) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    // ---- What happens --------------------------------------------------------------------------------

    /** The nodes' troubles are the same in all runs: they come from the seed alone. */
    private void script(Mode mode, Site site, List<ProgramProcess> planners, List<List<FaultProxy>> proxies)
            throws IOException, InterruptedException {
        SplittableRandom nodes = new SplittableRandom(seed);
        SplittableRandom faults = new SplittableRandom(seed + 1);
        int drained = nodes.nextInt(NODES);
        int first = (drained + 1 + nodes.nextInt(NODES - 1)) % NODES;
        int second = (drained + 1 + nodes.nextInt(NODES - 1)) % NODES;
        int crowded = nodes.nextInt(EVEN.length);
        site.startClients(load * site.spec().capacity());
        for (int s = 0; s < seconds; s++) {
            double part = s / (double) seconds;
            if (at(0.15, s)) {
                site.strike("n" + (first + 1), Site.Fault.RESTART);
            } else if (at(0.35, s)) {
                site.zoneShare(crowded, EVEN[crowded] + OVERFLOW * EVEN[crowded]);
            } else if (at(0.45, s)) {
                site.strike("n" + (second + 1), Site.Fault.RESTART);
            } else if (at(0.6, s)) {
                site.zoneShare(crowded, EVEN[crowded]);
            } else if (at(0.7, s)) {
                site.strike("n" + (drained + 1), Site.Fault.DRAIN);
            } else if (at(0.8, s)) {
                site.strike("n" + (first + 1), Site.Fault.RESTART);
            }
            if (mode == Mode.FAILING) {
                trouble(part, s, faults, planners, proxies);
            }
            Thread.sleep(1_000);
        }
    }

    private boolean at(double part, int second) {
        return second == (int) (part * seconds);
    }

    private void trouble(
            double part,
            int second,
            SplittableRandom random,
            List<ProgramProcess> planners,
            List<List<FaultProxy>> proxies)
            throws IOException {
        if (second % 3 == 1 && part < 0.85) {
            ProgramProcess p = planners.get(random.nextInt(PLANNERS));
            if (p.alive()) {
                p.kill();
                kills++;
            }
        }
        if (at(0.3, second)) { // all at once
            for (ProgramProcess p : planners) {
                if (p.alive()) {
                    p.kill();
                    kills++;
                }
            }
        }
        if (second % 3 == 0 && !at(0.3, second)) {
            for (ProgramProcess p : planners) {
                if (!p.alive()) {
                    p.start();
                }
            }
        }
        if (at(0.4, second) || at(0.65, second)) { // one says nothing for a while, and then all at once
            proxies.forEach(ways -> ways.get(0).stall(true, true));
        } else if (at(0.5, second) || at(0.75, second)) {
            proxies.forEach(ways -> ways.get(0).stall(false, false));
        }
        if (at(0.45, second)) { // two that see one half of the tier each, and disagree
            for (int f = 0; f < FORWARDERS; f++) {
                proxies.get(f).get(f % 2 == 0 ? 1 : 2).cut(true);
            }
        } else if (at(0.6, second)) {
            proxies.forEach(ways -> ways.forEach(w -> w.cut(false)));
        }
    }
}
