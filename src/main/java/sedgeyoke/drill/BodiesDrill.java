package sedgeyoke.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;
import sedgeyoke.standin.BulkClient;
import sedgeyoke.standin.BulkPair;
import sedgeyoke.standin.BulkPair.End;
import sedgeyoke.standin.BulkPair.Pace;
import sedgeyoke.standin.BulkSite;
import sedgeyoke.standin.Configurations;

/**
 * Long bodies in both directions at once, through one balancer under {@code run}'s own line: half of the pairs have a
 * client that trickles and a fast node, half the reverse. Every byte is digested at both ends, and the resident
 * memory of
 * the balancer is read from the system. Short requests go on beside them.
 */
public final class BodiesDrill {
    private static final int NODES = 12;
    private static final int SOCKETS = 4_096;
    private static final long SHORTEST = 1 << 10;
    private static final long LONGEST = 64 << 20;
    private static final int CEILING_KIB = 32;
    private static final int SOCKET_BUFFER = 64 << 10;
    /** Parts of the time in which pairs begin, and in which each of their two ways goes. */
    private static final double RAMP = 0.06;

    private static final double WAY = 0.42;
    private static final int MOST_RETRIES = 5;
    private static final long RETRY_MS = 500;
    private static final int SHORT_PER_SECOND = 40;
    private static final int SHORT_BYTES = 200;
    private static final long SHORT_BUDGET_MS = 2_000;
    private static final long LOOK_MS = 250;
    private static final int QUARTERS = 4;
    private static final Pattern LAST_WORD = Pattern.compile("bodies: at most ([0-9]+) of ([0-9]+) bytes");
    private static final ObjectMapper JSON = new ObjectMapper();

    private final int pairs;
    private final int seconds;
    private final long seed;
    private final boolean on;
    private final PrintWriter out;
    private final Map<String, BulkPair> known = new ConcurrentHashMap<>();
    private final AtomicInteger refused = new AtomicInteger();
    private final List<double[]> resident = new ArrayList<>();

    /** {@code on} false leaves {@code [bodies]} off, to show what the drill shows then. */
    public BodiesDrill(int pairs, int seconds, long seed, boolean on, PrintWriter out) {
        this.pairs = pairs;
        this.seconds = seconds;
        this.seed = seed;
        this.on = on;
        this.out = out;
    }

    /** Plays it and returns the figures; {@code ok} is false if one is short of what is promised. */
    public ObjectNode run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("drill-bodies");
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(4, NioIoHandler.newFactory());
        try (BulkSite site = new BulkSite(Sites.orders(NODES), loops, known, SOCKET_BUFFER)) {
            ProgramProcess balancer = balancer(folder, site);
            balancer.start();
            try {
                InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), balancer.port());
                Thread.sleep(1_000); // the first list, and the heap of the start
                double start = balancer.residentMb();
                List<BulkPair> longOnes = new CopyOnWriteArrayList<>();
                List<BulkPair> shortOnes = new ArrayList<>();
                play(site.spec(), loops, address, balancer, longOnes, shortOnes);
                double cpu = balancer.cpuSeconds();
                balancer.terminate();
                return figures(start, cpu, longOnes, shortOnes, Files.readString(folder.resolve("b0.log")));
            } finally {
                balancer.close();
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            PlannersDrill.deleteUnlessAsked(folder);
        }
    }

    private ProgramProcess balancer(Path folder, BulkSite site) throws IOException {
        ObjectNode configuration = (ObjectNode)
                JSON.readTree(Configurations.of(site.spec(), "b0", "127.0.0.1:0", site.discovery(), 0, 0, 1, seed));
        configuration.withObject("/limits").put("sockets", SOCKETS);
        Path json = Files.writeString(folder.resolve("b0.json"), configuration.toString());
        Path toml = Files.writeString(
                folder.resolve("b0.toml"),
                "[bodies]\nenabled = " + on + "\nceiling_kib = "
                        + CEILING_KIB + "\ntotal_mib = " + (pairs * CEILING_KIB / 1_024 + 8) + "\nleast_rate = 0\n"
                        + "longest_upload_s = " + 4 * seconds + "\nlongest_still_ms = " + 1_000 * seconds
                        + "\nsocket_buffer_kib = " + (SOCKET_BUFFER >> 10) + "\n");
        return new ProgramProcess(
                folder.resolve("b0.log"),
                Map.of("BALANCER_CONFIG", json.toString()),
                "serve",
                "--config",
                toml.toString());
    }

    private void play(
            SiteModel spec,
            EventLoopGroup loops,
            InetSocketAddress address,
            ProgramProcess balancer,
            List<BulkPair> longOnes,
            List<BulkPair> shortOnes)
            throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        long total = seconds * 1_000_000_000L;
        List<CompletableFuture<BulkPair>> open = new ArrayList<>();
        for (int i = 0; i < pairs; i++) {
            BulkPair pair = BulkPair.draw(
                    String.format("%08x%08x", seed, i),
                    drawClass(spec, random),
                    i % 2 == 0 ? Pace.SLOW_CLIENT : Pace.SLOW_NODE,
                    SHORTEST,
                    LONGEST,
                    (long) (WAY * seconds * 1e3),
                    random);
            known.put(pair.id(), pair);
            longOnes.add(pair);
        }
        long startedAt = System.nanoTime();
        long nextLook = 0;
        int begun = 0;
        for (long t = 0; t < total; t = System.nanoTime() - startedAt) {
            for (; begun < pairs && begun < pairs * t / (RAMP * total); begun++) {
                open.add(ask(loops.next(), address, begun, longOnes, 0));
            }
            while (shortOnes.size() < SHORT_PER_SECOND * t / 1e9) {
                BulkPair pair = BulkPair.draw(
                        String.format("s%07x%08x", seed, shortOnes.size()),
                        drawClass(spec, random),
                        Pace.NONE,
                        SHORT_BYTES,
                        SHORT_BYTES,
                        0,
                        random);
                known.put(pair.id(), pair);
                shortOnes.add(pair);
                open.add(BulkClient.ask(loops.next(), address, pair, SHORT_BUDGET_MS, SOCKET_BUFFER));
            }
            if (t >= nextLook) {
                nextLook += LOOK_MS * 1_000_000;
                resident.add(new double[] {t / (double) total, balancer.residentMb()});
                say(t, longOnes);
            }
            Thread.sleep(2);
        }
        try { // what a full machine has delayed may still come to its end
            CompletableFuture.allOf(open.toArray(new CompletableFuture<?>[0])).get(seconds, TimeUnit.SECONDS);
        } catch (TimeoutException | ExecutionException e) {
            out.println("not all have ended: " + e);
        }
    }

    /** A refusal is harmless to try again, so a client does, a few times and with a pause. */
    private CompletableFuture<BulkPair> ask(
            EventLoop loop, InetSocketAddress address, int index, List<BulkPair> all, int retries) {
        BulkPair pair = all.get(index);
        return BulkClient.ask(loop, address, pair, 2_000L * seconds, SOCKET_BUFFER)
                .thenCompose(ended -> {
                    if (ended.end() != End.REFUSED || retries == MOST_RETRIES) {
                        return CompletableFuture.completedFuture(ended);
                    }
                    refused.incrementAndGet();
                    CompletableFuture<BulkPair> later = new CompletableFuture<>();
                    loop.schedule(
                            () -> {
                                BulkPair next = pair.again(pair.id().substring(0, 16) + "-" + retries);
                                known.put(next.id(), next);
                                all.set(index, next);
                                ask(loop, address, index, all, retries + 1).thenAccept(later::complete);
                            },
                            RETRY_MS,
                            TimeUnit.MILLISECONDS);
                    return later;
                });
    }

    private static RequestClassModel drawClass(SiteModel spec, SplittableRandom random) {
        return spec.classes().get(random.nextInt(spec.classes().size()));
    }

    private void say(long t, List<BulkPair> longOnes) {
        if (resident.size() % 20 == 1) {
            Map<End, Integer> ends = new EnumMap<>(End.class);
            longOnes.forEach(p -> ends.merge(p.end(), 1, Integer::sum));
            out.printf("%3d s  %s  resident %.1f MB%n", t / 1_000_000_000, ends, resident.get(resident.size() - 1)[1]);
            out.flush();
        }
    }

    private ObjectNode figures(
            double start, double cpu, List<BulkPair> longOnes, List<BulkPair> shortOnes, String log) {
        long complete = count(longOnes, End.COMPLETE);
        long mismatches = longOnes.stream()
                .filter(p -> p.end() == End.COMPLETE && !p.digestsMatch())
                .count();
        long cut = count(longOnes, End.CUT) + count(longOnes, End.OPEN);
        long twice = longOnes.stream().filter(p -> p.ranTwice()).count()
                + shortOnes.stream().filter(p -> p.ranTwice()).count();
        double peak = resident.stream().mapToDouble(r -> r[1]).max().orElse(0);
        ObjectNode figures = JSON.createObjectNode()
                .put("drill", "bodies")
                .put("seed", seed)
                .put("seconds", seconds)
                .put("bodies_on", on)
                .put("pairs", pairs)
                .put("completed", complete)
                .put("refused_and_retried", refused.get())
                .put("refused", count(longOnes, End.REFUSED))
                .put("failed", count(longOnes, End.FAILED))
                .put("digest_mismatches", mismatches)
                .put("cut_short", cut)
                .put("ran_twice", twice)
                .put(
                        "mib",
                        longOnes.stream()
                                        .filter(p -> p.end() == End.COMPLETE)
                                        .mapToLong(BulkPair::bytes)
                                        .sum()
                                >> 20)
                .put("cpu_s", round(cpu))
                .put("rss_mb_start", round(start))
                .put("rss_mb_peak", round(peak));
        ArrayNode quarters = figures.putArray("rss_mb_quarters");
        double[] means = residentByQuarter();
        for (double mean : means) {
            quarters.add(round(mean));
        }
        Matcher said = LAST_WORD.matcher(log);
        boolean heard = said.find();
        long largest = heard ? Long.parseLong(said.group(1)) : -1;
        long ceiling = heard ? Long.parseLong(said.group(2)) : -1;
        long shortServed = count(shortOnes, End.COMPLETE);
        double[] took = shortOnes.stream()
                .filter(p -> p.end() == End.COMPLETE)
                .mapToDouble(BulkPair::tookMs)
                .sorted()
                .toArray();
        figures.put("ceiling_bytes_per_request", ceiling)
                .put("largest_buffered_bytes", largest)
                .put("short_asked", shortOnes.size())
                .put("short_served", shortServed)
                .put("short_p99_ms", took.length == 0 ? -1 : round(took[(int) (0.99 * (took.length - 1))]));
        boolean flat = Math.abs(means[QUARTERS - 1] - means[1]) <= 0.05 * means[1];
        return figures.put(
                "ok",
                complete == pairs && mismatches == 0 && cut == 0 && twice == 0 && flat && heard && largest <= ceiling);
    }

    private double[] residentByQuarter() {
        double[] means = new double[QUARTERS];
        for (int q = 0; q < QUARTERS; q++) {
            int quarter = q;
            means[q] = resident.stream()
                    .filter(r -> (int) (r[0] * QUARTERS) == quarter)
                    .mapToDouble(r -> r[1])
                    .average()
                    .orElse(0);
        }
        return means;
    }

    private static long count(List<BulkPair> among, End end) {
        return among.stream().filter(p -> p.end() == end).count();
    }

    private static double round(double figure) {
        return Math.round(figure * 100) / 100.0;
    }
}
