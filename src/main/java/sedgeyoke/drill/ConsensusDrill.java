package sedgeyoke.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.RandomAccessFile;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.FaultProxy;
import sedgeyoke.standin.Site;

/**
 * Keepers and balancers as processes, with a proxy on every way between two of them, under traffic. Writers put nodes
 * out by hand and back, each version from the one before; keepers are killed, stopped, cut off one way or both, and
 * have bits of their folders flipped while they are down, a minority of them at once. What is judged is what nodes saw:
 * requests that arrive at a node that is out.
 */
public final class ConsensusDrill {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double[] EVEN = {0.34, 0.33, 0.33};
    private static final int NODES = 12;
    private static final double LOAD = 0.5;
    private static final long LEASE_MS = 2_000;
    /** What was on its way when a balancer learned of a version may arrive so much later. */
    private static final long ON_THE_WAY = 100_000;

    private static final long WRITE_MS = 8_000;
    private static final int WRITERS = 2;

    private final int keeperCount;
    private final int balancerCount;
    private final int seconds;
    private final long seed;
    private final Mode mode;
    private final List<String> program;
    private final PrintWriter out;
    private final Map<String, Integer> faults = new TreeMap<>();
    private final List<Write> writes = new CopyOnWriteArrayList<>();
    private final List<long[]> reads = new CopyOnWriteArrayList<>();
    /** Arrivals at each node: balancer's number and time. */
    private final Map<String, List<long[]>> arrivals = new ConcurrentHashMap<>();
    /** Times in which a balancer could hear no keeper: number, from, until. */
    private final List<long[]> alone = new CopyOnWriteArrayList<>();

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private volatile boolean over;

    /** A write as whoever made it saw it; times are of the site's clock. */
    private record Write(long from, long until, RequestResult outcome, String request, ConfigDocument content) {}

    /** What is played. */
    public enum Mode {
        /** All of it. */
        FAULTS,
        /** The same without faults, to compare with. */
        QUIET,
        /** With faults, but nothing is agreed: each balancer is told by itself, through its own door. */
        WITHOUT
    }

    /** {@code program}: how the program is started. */
    public ConsensusDrill(
            int keepers, int balancers, int seconds, long seed, Mode mode, List<String> program, PrintWriter out) {
        this.keeperCount = keepers;
        this.balancerCount = balancers;
        this.seconds = seconds;
        this.seed = seed;
        this.mode = mode;
        this.program = program;
        this.out = out;
    }

    /** The processes of one run and the ways between them. */
    private final class Tier implements AutoCloseable {
        final List<ProgramProcess> keepers = new ArrayList<>();
        final List<ProgramProcess> balancers = new ArrayList<>();
        final List<Integer> ports = new ArrayList<>();
        /** Ways from a keeper to another, and from a balancer to each keeper. */
        final FaultProxy[][] between = new FaultProxy[keeperCount][keeperCount];

        final FaultProxy[][] ways = new FaultProxy[balancerCount][keeperCount];
        /** Where each balancer is told by itself, and the way there. */
        final FaultProxy[] doors = new FaultProxy[balancerCount];

        final TierProcesses processes;

        Tier(Site site, Path folder) throws IOException, InterruptedException {
            processes = new TierProcesses(folder, program);
            for (int k = 0; k < keeperCount; k++) {
                ports.add(ProgramProcess.freePort());
            }
            for (int k = 0; k < keeperCount; k++) {
                Map<String, Integer> others = new LinkedHashMap<>();
                for (int o = 0; o < keeperCount; o++) {
                    between[k][o] = o == k ? null : proxy(site, ports.get(o));
                    others.put(
                            "k" + o,
                            o == k ? ports.get(o) : between[k][o].address().getPort());
                }
                keepers.add(processes.keeper("k" + k, ports.get(k), others, LEASE_MS));
                keepers.get(k).start();
            }
            for (int b = 0; b < balancerCount; b++) {
                List<Integer> at = new ArrayList<>();
                for (int k = 0; k < keeperCount; k++) {
                    ways[b][k] = proxy(site, ports.get(k));
                    at.add(ways[b][k].address().getPort());
                }
                int door = ProgramProcess.freePort();
                doors[b] = proxy(site, door);
                balancers.add(processes.agreeing(
                        "b" + b,
                        TierProcesses.configuration(
                                site, "b" + b, b % EVEN.length, b, balancerCount, 300, seed * 31 + b),
                        mode == Mode.WITHOUT ? List.of() : at,
                        LEASE_MS,
                        door));
                balancers.get(b).start();
            }
            for (int b = 0; b < balancerCount; b++) {
                site.balancer(
                        "b" + b, b % EVEN.length, loopback(balancers.get(b).port()));
            }
            for (ProgramProcess k : keepers) {
                k.port();
            }
        }

        private FaultProxy proxy(Site site, int port) {
            return new FaultProxy(site.loop(), 0, loopback(port));
        }

        List<InetSocketAddress> addresses() {
            return ports.stream().map(ConsensusDrill::loopback).toList();
        }

        void heal() {
            Stream.concat(
                            Stream.of(doors),
                            Stream.concat(Stream.of(between), Stream.of(ways)).flatMap(Stream::of))
                    .filter(p -> p != null)
                    .forEach(p -> {
                        p.stall(false, false);
                        p.cut(false);
                    });
        }

        @Override
        public void close() {
            keepers.forEach(ProgramProcess::close);
            balancers.forEach(ProgramProcess::close);
        }
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Plays it and returns the figures; {@code ok} is false if one is short of what is promised. */
    public ObjectNode run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("drill-agree");
        try (Site site = new Site(Sites.orders(NODES), EVEN, seed);
                Tier tier = new Tier(site, folder)) {
            site.run(() -> site.ledger()
                    .listen((balancer, node, now) -> arrivals.computeIfAbsent(node, n -> new ArrayList<>())
                            .add(new long[] {Integer.parseInt(balancer.substring(1)), now})));
            TlsFiles files = tier.processes.operator("op");
            awaitLeader(tier, files);
            Thread.sleep(2 * LEASE_MS);
            List<Thread> writers = new ArrayList<>();
            site.startClients(LOAD * site.spec().capacity());
            for (int w = 0; w < WRITERS; w++) {
                int number = w;
                writers.add(new Thread(() -> write(site, tier, files, number)));
            }
            writers.forEach(Thread::start);
            trouble(site, tier);
            over = true;
            for (Thread w : writers) {
                w.join();
            }
            site.stopClients();
            ConfigVersion last = finalVersion(tier, files);
            return figures(site, last, tier, files);
        } finally {
            PlannersDrill.deleteUnlessAsked(folder);
        }
    }

    private void awaitLeader(Tier tier, TlsFiles files) throws IOException, InterruptedException {
        try (ConfigClient client = new ConfigClient(tier.addresses(), "op", files)) {
            if (client.ask(new ClientRequest.Read(), 60_000).outcome().kind() != RequestResult.Kind.DONE) {
                throw new IOException("no leader after a minute");
            }
        }
    }

    private ConfigVersion finalVersion(Tier tier, TlsFiles files) throws IOException, InterruptedException {
        try (ConfigClient client = new ConfigClient(tier.addresses(), "op", files)) {
            ConfigClient.Answer answer = client.ask(new ClientRequest.Read(), 30_000);
            return answer.outcome().kind() == RequestResult.Kind.DONE ? answer.newest() : null;
        }
    }

    // ---- Writers -------------------------------------------------------------------------------------

    private void write(Site site, Tier tier, TlsFiles files, int number) {
        SplittableRandom random = new SplittableRandom(seed * 7 + number);
        try (ConfigClient client = new ConfigClient(tier.addresses(), "op", files)) {
            for (int i = 0; !over; i++) {
                long readFrom = site.now();
                ConfigClient.Answer now = client.ask(new ClientRequest.Read(), WRITE_MS);
                if (now.outcome().kind() != RequestResult.Kind.DONE) {
                    continue;
                }
                reads.add(new long[] {readFrom, site.now(), now.outcome().version()});
                Map<String, String> nodes = new TreeMap<>();
                nodes.put("n" + (1 + random.nextInt(NODES)), "drill");
                ConfigDocument content = now.newest().content().with(ConfigSchema.DISABLED_UPSTREAMS, nodes);
                long from = site.now();
                String request = "w" + number + "-" + i;
                ConfigClient.Answer done = client.set(request, now.newest(), "w" + number, "drill", content, WRITE_MS);
                if (mode == Mode.WITHOUT && done.outcome().kind() == RequestResult.Kind.DONE) {
                    tellEach(tier, now.newest().content(), content);
                }
                writes.add(new Write(from, site.now(), done.outcome(), request, content));
                Thread.sleep(3_000 + random.nextInt(4_000));
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One after the other, as a tool would that has a list of them; whoever does not answer is left out. */
    private synchronized void tellEach(Tier tier, ConfigDocument before, ConfigDocument next)
            throws InterruptedException {
        Map<String, String> calls = new LinkedHashMap<>();
        next.names(ConfigSchema.DISABLED_UPSTREAMS).keySet().forEach(id -> calls.put(id, "cordon"));
        before.names(ConfigSchema.DISABLED_UPSTREAMS).keySet().forEach(id -> calls.putIfAbsent(id, "uncordon"));
        for (FaultProxy door : tier.doors) {
            for (Map.Entry<String, String> call : calls.entrySet()) {
                try {
                    http.send(
                            HttpRequest.newBuilder(URI.create("http://127.0.0.1:"
                                            + door.address().getPort() + "/admin/" + call.getValue()))
                                    .timeout(Duration.ofSeconds(1))
                                    .POST(HttpRequest.BodyPublishers.ofString(call.getKey()))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding());
                } catch (IOException e) {
                    count("not_told");
                }
            }
        }
    }

    // ---- Trouble -------------------------------------------------------------------------------------

    private void trouble(Site site, Tier tier) throws IOException, InterruptedException {
        SplittableRandom random = new SplittableRandom(seed + 1);
        int most = (keeperCount - 1) / 2;
        for (int s = 0; s < seconds; s += 4) {
            List<Integer> hit = new ArrayList<>();
            boolean quietEnd = s + 8 >= seconds;
            while (mode != Mode.QUIET && !quietEnd && hit.size() < 1 + random.nextInt(most)) {
                int k = random.nextInt(keeperCount);
                if (!hit.contains(k)) {
                    hit.add(k);
                    strike(tier, k, random);
                }
            }
            int cutOff = -1;
            long since = site.now();
            if (mode != Mode.QUIET && !quietEnd && random.nextInt(3) == 0) {
                cutOff = random.nextInt(balancerCount);
                count("balancer_cut_off");
                for (FaultProxy way : tier.ways[cutOff]) {
                    way.stall(true, random.nextBoolean());
                }
                tier.doors[cutOff].stall(true, true);
            }
            Thread.sleep(3_000);
            tier.heal();
            if (cutOff >= 0) {
                alone.add(new long[] {cutOff, since, site.now()});
            }
            for (int k : hit) {
                tier.keepers.get(k).pause(false);
                if (!tier.keepers.get(k).alive()) {
                    tier.keepers.get(k).start();
                }
            }
            Thread.sleep(1_000);
        }
    }

    private void count(String kind) {
        faults.merge(kind, 1, Integer::sum);
    }

    private void strike(Tier tier, int k, SplittableRandom random) throws IOException, InterruptedException {
        ProgramProcess keeper = tier.keepers.get(k);
        switch (random.nextInt(6)) {
            case 0 -> {
                count("killed");
                keeper.kill();
            }
            case 1 -> {
                count("stopped");
                keeper.pause(true);
            }
            case 2 -> {
                count("cut_one_way");
                for (int o = 0; o < keeperCount; o++) {
                    if (o != k) {
                        tier.between[k][o].stall(true, false);
                    }
                }
            }
            case 3 -> {
                count("cut_off");
                for (int o = 0; o < keeperCount; o++) {
                    if (o != k) {
                        tier.between[k][o].cut(true);
                        tier.between[o][k].cut(true);
                    }
                }
            }
            case 4 -> {
                count("slow");
                for (int o = 0; o < keeperCount; o++) {
                    if (o != k) {
                        tier.between[o][k].stall(false, true);
                    }
                }
            }
            default -> {
                count("bit_flipped");
                keeper.kill();
                flip(tier.processes.keepersFolder("k" + k), random);
            }
        }
    }

    private static void flip(Path folder, SplittableRandom random) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> all = files.filter(f -> f.getFileName().toString().matches("(log|mark|slot|snap)-.*"))
                    .sorted()
                    .toList();
            Path file = all.get(random.nextInt(all.size()));
            try (RandomAccessFile bytes = new RandomAccessFile(file.toFile(), "rw")) {
                byte[] content = new byte[(int) bytes.length()];
                bytes.readFully(content);
                for (int tries = 0; tries < 10_000; tries++) {
                    int at = random.nextInt(Math.max(1, content.length));
                    if (content.length > 0 && content[at] != 0) { // something that was written
                        bytes.seek(at);
                        bytes.write(content[at] ^ 1 << random.nextInt(8));
                        return;
                    }
                }
            }
        }
    }

    // ---- Judgement -----------------------------------------------------------------------------------

    private boolean wasAlone(long balancer, long at) {
        return alone.stream().anyMatch(a -> a[0] == balancer && at >= a[1] && at <= a[2] + 1_000 * LEASE_MS);
    }

    /** For each version that put a node out: the last arrival there before it was put back, counted from the answer. */
    private long[] contradictions() {
        long worst = 0;
        long worstAlone = 0;
        List<Write> done = writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.DONE)
                .sorted((a, b) ->
                        Long.compare(a.outcome().version(), b.outcome().version()))
                .toList();
        for (int i = 0; i < done.size(); i++) {
            Write w = done.get(i);
            String node = node(w);
            boolean known = i + 1 < done.size()
                    && done.get(i + 1).outcome().version() == w.outcome().version() + 1;
            long until = i + 1 < done.size() ? done.get(i + 1).from() : Long.MAX_VALUE;
            for (long[] a : arrivals.getOrDefault(node, List.of())) {
                if (a[1] > w.until() && a[1] < until && (known || i + 1 == done.size())) {
                    long late = (a[1] - w.until()) / 1_000;
                    if (wasAlone(a[0], a[1])) {
                        worstAlone = Math.max(worstAlone, late);
                    } else {
                        worst = Math.max(worst, late);
                    }
                }
            }
        }
        return new long[] {worst, worstAlone};
    }

    /** Each version puts one node out and the one before back: never may both be in use. */
    private int strictContradictions() {
        List<Write> done = writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.DONE)
                .sorted((a, b) ->
                        Long.compare(a.outcome().version(), b.outcome().version()))
                .toList();
        int found = 0;
        for (int i = 1; i < done.size(); i++) {
            Write before = done.get(i - 1);
            Write next = done.get(i);
            String back = node(before);
            String out = node(next);
            if (next.outcome().version() != before.outcome().version() + 1 || back.equals(out)) {
                continue;
            }
            long until = i + 1 < done.size() ? done.get(i + 1).from() : Long.MAX_VALUE;
            long first = arrivals.getOrDefault(back, List.of()).stream()
                    .filter(a -> a[1] >= next.from() + ON_THE_WAY && !wasAlone(a[0], a[1]))
                    .mapToLong(a -> a[1])
                    .min()
                    .orElse(Long.MAX_VALUE);
            long last = arrivals.getOrDefault(out, List.of()).stream()
                    .filter(a -> a[1] >= next.from() && a[1] < until && !wasAlone(a[0], a[1]))
                    .mapToLong(a -> a[1])
                    .max()
                    .orElse(0);
            found += first < until && last > first + ON_THE_WAY ? 1 : 0;
        }
        return found;
    }

    private static String node(Write w) {
        return w.content()
                .names(ConfigSchema.DISABLED_UPSTREAMS)
                .keySet()
                .iterator()
                .next();
    }

    private boolean inOrder() {
        List<long[]> ops = new ArrayList<>(reads);
        writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.DONE)
                .forEach(w ->
                        ops.add(new long[] {w.from(), w.until(), w.outcome().version()}));
        for (long[] a : ops) {
            for (long[] b : ops) {
                if (a[1] < b[0] && b[2] < a[2]) {
                    return false;
                }
            }
        }
        return true;
    }

    private ObjectNode figures(Site site, ConfigVersion last, Tier tier, TlsFiles files)
            throws IOException, InterruptedException {
        InvariantChecker.Summary summary = site.summary();
        long done = writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.DONE)
                .count();
        long unknown = writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.UNKNOWN)
                .count();
        long versions = writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.DONE)
                .mapToLong(w -> w.outcome().version())
                .distinct()
                .count();
        long highest = writes.stream()
                .filter(w -> w.outcome().kind() == RequestResult.Kind.DONE)
                .mapToLong(w -> w.outcome().version())
                .max()
                .orElse(0);
        long lost = last == null ? -1 : done - versions + Math.max(0, highest - last.number());
        long bound = 0;
        int sound = 0;
        try (ConfigClient client = new ConfigClient(tier.addresses(), "op", files)) {
            for (InetSocketAddress at : tier.addresses()) {
                ConfigClient.Status status = client.status(at);
                bound = status == null ? bound : status.holdsWithinMs();
                sound += status != null && status.sound() ? 1 : 0;
            }
        }
        long[] contradictions = contradictions();
        ObjectNode figures = JSON.createObjectNode()
                .put("drill", "agree")
                .put("seed", seed)
                .put("seconds", seconds)
                .put("keepers", keeperCount)
                .put("balancers", balancerCount)
                .put("mode", mode.toString().toLowerCase(Locale.ROOT));
        figures.set("faults", JSON.valueToTree(faults));
        figures.put("writes", done)
                .put("unknown", unknown)
                .put("lost_commits", lost)
                .put("linearizable", inOrder())
                .put("contradiction_max_ms", contradictions[0])
                .put("holds_within_ms", bound)
                .put("strict_contradictions", strictContradictions())
                .put("alone_max_ms", contradictions[1])
                .put("keepers_sound_at_end", sound)
                .put("service", Math.round(summary.service() * 1e4) / 1e4)
                .put("requests", summary.requests())
                .put("rule_violations", summary.ruleViolations())
                .put("judge_stalled_ms", site.ask(site.ledger()::stalledMs));
        site.ask(site.ledger()::violations).forEach(v -> out.println("rule: " + v));
        boolean safe = lost == 0
                && inOrder()
                && contradictions[0] <= bound + ON_THE_WAY / 1_000
                && strictContradictions() == 0;
        return figures.put("ok", safe && done > 0 && summary.ruleViolations() == 0 && sound == keeperCount);
    }
}
