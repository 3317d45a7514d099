package sedgeyoke.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import sedgeyoke.standin.BulkPair;
import sedgeyoke.standin.BulkPair.End;
import sedgeyoke.standin.BulkSite;
import sedgeyoke.standin.Configurations;

/**
 * Sends long bodies in both directions at once through one balancer: half of the exchanges have a slow client and a
 * fast node, half the reverse. Both ends digest every body, and the balancer's resident memory is read from the
 * operating system. Short requests are sent at the same time.
 */
public final class BodiesDrill {
    private static final String BALANCER = "b0";
    private static final int NODES = 12;
    private static final int SOCKETS = 4_096;
    private static final int CEILING_KIB = 32;
    private static final int LOOPS = 4;
    private static final int START_MS = 1_000;
    private static final int TICK_MS = 2;
    private static final long SAMPLE_INTERVAL_MS = 250;
    private static final int SAMPLES_PER_PROGRESS_LINE = 20;
    /** Logged by the balancer when it shuts down: the largest buffer of any request, and the ceiling on it. */
    private static final Pattern BUFFER_LINE = Pattern.compile("bodies: at most ([0-9]+) of ([0-9]+) bytes");

    private static final ObjectMapper JSON = new ObjectMapper();

    private final int pairs;
    private final int seconds;
    private final long seed;
    private final boolean streaming;
    private final PrintWriter out;
    private final MemorySamples memory = new MemorySamples();

    /** If {@code streaming} is false, {@code [bodies]} stays disabled, for comparison. */
    public BodiesDrill(int pairs, int seconds, long seed, boolean streaming, PrintWriter out) {
        this.pairs = pairs;
        this.seconds = seconds;
        this.seed = seed;
        this.streaming = streaming;
        this.out = out;
    }

    /** What was measured of the balancer process. */
    private record ProcessMetrics(double startMb, double cpuSeconds, BufferMetrics buffers) {}

    /** The largest buffer of any request and the ceiling on it, in bytes; both -1 if the balancer logged none. */
    private record BufferMetrics(long largest, long ceiling) {
        static BufferMetrics parse(String log) {
            Matcher line = BUFFER_LINE.matcher(log);
            return line.find()
                    ? new BufferMetrics(Long.parseLong(line.group(1)), Long.parseLong(line.group(2)))
                    : new BufferMetrics(-1, -1);
        }

        boolean withinCeiling() {
            return ceiling >= 0 && largest <= ceiling;
        }
    }

    /** Runs the drill and returns its metrics; {@code ok} is false if one misses its target. */
    public ObjectNode run() throws IOException, InterruptedException {
        EventLoopGroup loops = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        Map<String, BulkPair> pairsById = new ConcurrentHashMap<>();
        try (DrillFolder folder = new DrillFolder("bodies");
                BulkSite site = new BulkSite(Sites.orders(NODES), loops, pairsById, BulkLoad.SOCKET_BUFFER_BYTES)) {
            Path log = folder.path().resolve(BALANCER + ".log");
            try (ProgramProcess balancer = balancer(folder.path(), log, site)) {
                balancer.start();
                BulkLoad load = new BulkLoad(
                        pairs, seconds, seed, site.spec(), loops, Loopback.address(balancer.port()), pairsById);
                Thread.sleep(START_MS); // until the first endpoint list has arrived and the heap size is steady
                double startMb = balancer.residentMb();
                play(load, balancer);
                double cpuSeconds = balancer.cpuSeconds();
                balancer.terminate();
                BufferMetrics buffers = BufferMetrics.parse(Files.readString(log));
                return metrics(load, new ProcessMetrics(startMb, cpuSeconds, buffers));
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private ProgramProcess balancer(Path folder, Path log, BulkSite site) throws IOException {
        ObjectNode configuration = (ObjectNode) JSON.readTree(Configurations.of(
                site.spec(),
                new Configurations.BalancerSpec(BALANCER, "127.0.0.1:0", site.discoveryFor(BALANCER), 0, 0, 1, seed)));
        configuration.withObject("/limits").put("sockets", SOCKETS);
        Path json = Files.writeString(folder.resolve(BALANCER + ".json"), configuration.toString());
        Path toml = Files.writeString(folder.resolve(BALANCER + ".toml"), operatorSettings());
        List<String> command = Stream.concat(
                        ProgramProcess.program().stream(), Stream.of("serve", "--config", toml.toString()))
                .toList();
        return new ProgramProcess(log, Map.of("BALANCER_CONFIG", json.toString()), command);
    }

    /** The operator file of the balancer, with time limits too long to end an exchange of the drill. */
    private String operatorSettings() {
        return "[bodies]\nenabled = " + streaming + "\n"
                + "ceiling_kib = " + CEILING_KIB + "\n"
                + "total_mib = " + (pairs * CEILING_KIB / 1_024 + 8) + "\n"
                + "least_rate = 0\n"
                + "longest_upload_s = " + 4 * seconds + "\n"
                + "longest_still_ms = " + 1_000 * seconds + "\n"
                + "socket_buffer_kib = " + (BulkLoad.SOCKET_BUFFER_BYTES >> 10) + "\n";
    }

    private void play(BulkLoad load, ProgramProcess balancer) throws InterruptedException {
        long totalNanos = TimeUnit.SECONDS.toNanos(seconds);
        long startNanos = System.nanoTime();
        long nextSampleNanos = 0;
        for (long elapsed = 0; elapsed < totalNanos; elapsed = System.nanoTime() - startNanos) {
            load.startDue(elapsed);
            if (elapsed >= nextSampleNanos) {
                nextSampleNanos += TimeUnit.MILLISECONDS.toNanos(SAMPLE_INTERVAL_MS);
                memory.add(elapsed / (double) totalNanos, balancer.residentMb());
                printProgress(elapsed, load.longPairs());
            }
            Thread.sleep(TICK_MS);
        }
        try {
            load.awaitEnd();
        } catch (TimeoutException | ExecutionException e) {
            out.println("not all exchanges have ended: " + e);
        }
    }

    private void printProgress(long elapsedNanos, List<BulkPair> longPairs) {
        if (memory.count() % SAMPLES_PER_PROGRESS_LINE == 1) {
            Map<End, Integer> counts = new EnumMap<>(End.class);
            longPairs.forEach(pair -> counts.merge(pair.end(), 1, Integer::sum));
            out.printf(
                    "%3d s  %s  resident %.1f MB%n",
                    TimeUnit.NANOSECONDS.toSeconds(elapsedNanos), counts, memory.latestMb());
            out.flush();
        }
    }

    private ObjectNode metrics(BulkLoad load, ProcessMetrics process) {
        List<BulkPair> longPairs = load.longPairs();
        List<BulkPair> shortPairs = load.shortPairs();
        List<BulkPair> complete = completed(longPairs);
        long mismatches = complete.stream().filter(pair -> !pair.digestsMatch()).count();
        long cut = count(longPairs, End.CUT) + count(longPairs, End.OPEN);
        long ranTwice = Stream.concat(longPairs.stream(), shortPairs.stream())
                .filter(BulkPair::ranTwice)
                .count();
        long completeBytes = complete.stream().mapToLong(BulkPair::bytes).sum();
        ObjectNode metrics = JSON.createObjectNode()
                .put("drill", "bodies")
                .put("seed", seed)
                .put("seconds", seconds)
                .put("bodies_on", streaming)
                .put("pairs", pairs)
                .put("completed", complete.size())
                .put("refused_and_retried", load.rejectedAndRetried())
                .put("refused", count(longPairs, End.REJECTED))
                .put("failed", count(longPairs, End.FAILED))
                .put("digest_mismatches", mismatches)
                .put("cut_short", cut)
                .put("ran_twice", ranTwice)
                .put("mib", completeBytes >> 20)
                .put("cpu_s", round(process.cpuSeconds()))
                .put("rss_mb_start", round(process.startMb()))
                .put("rss_mb_peak", round(memory.peakMb()));
        ArrayNode quarters = metrics.putArray("rss_mb_quarters");
        for (double mean : memory.meansByQuarter()) {
            quarters.add(round(mean));
        }
        metrics.put("ceiling_bytes_per_request", process.buffers().ceiling())
                .put("largest_buffered_bytes", process.buffers().largest())
                .put("short_asked", shortPairs.size())
                .put("short_served", count(shortPairs, End.COMPLETE))
                .put("short_p99_ms", p99Ms(completed(shortPairs)));
        boolean intact = complete.size() == pairs && mismatches == 0 && cut == 0 && ranTwice == 0;
        return metrics.put("ok", intact && memory.flat() && process.buffers().withinCeiling());
    }

    /** The 99th percentile of the durations of exchanges, in milliseconds; -1 if there are none. */
    private static double p99Ms(List<BulkPair> ended) {
        double[] sorted = ended.stream().mapToDouble(BulkPair::tookMs).sorted().toArray();
        return sorted.length == 0 ? -1 : round(sorted[(int) (0.99 * (sorted.length - 1))]);
    }

    private static List<BulkPair> completed(List<BulkPair> among) {
        return among.stream().filter(pair -> pair.end() == End.COMPLETE).toList();
    }

    private static long count(List<BulkPair> among, End end) {
        return among.stream().filter(pair -> pair.end() == end).count();
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
