package sedgeyoke.drill;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.model.SiteModel;
import sedgeyoke.standin.BulkClient;
import sedgeyoke.standin.BulkPair;
import sedgeyoke.standin.BulkPair.End;
import sedgeyoke.standin.BulkPair.Pace;

/** The load of a bodies drill: long exchanges that start during a ramp, and short ones at a constant rate. */
final class BulkLoad {
    /** Size of the kernel buffers of each socket. */
    static final int SOCKET_BUFFER_BYTES = 64 << 10;

    private static final long SHORTEST_BYTES = 1 << 10;
    private static final long LONGEST_BYTES = 64 << 20;
    /** The share of the drill during which long exchanges start. */
    private static final double RAMP_SHARE = 0.06;
    /** The share of the drill that the transfer of one body takes at the slow side's rate. */
    private static final double DIRECTION_SHARE = 0.42;

    private static final int MAX_RETRIES = 5;
    private static final long RETRY_DELAY_MS = 500;
    private static final int SHORT_PER_SECOND = 40;
    private static final int SHORT_BYTES = 200;
    private static final long SHORT_BUDGET_MS = 2_000;
    private static final int UNRETRIED_ID_LENGTH = 16;

    private final int longCount;
    private final int seconds;
    private final long seed;
    private final SiteModel site;
    private final EventLoopGroup loops;
    private final InetSocketAddress balancer;
    private final Map<String, BulkPair> pairsById;
    private final SplittableRandom random;
    private final List<BulkPair> longPairs = new CopyOnWriteArrayList<>();
    private final List<BulkPair> shortPairs = new ArrayList<>();
    private final List<CompletableFuture<BulkPair>> open = new ArrayList<>();
    private final AtomicInteger rejectedAndRetried = new AtomicInteger();
    private int started;

    /** The nodes look up in {@code pairsById} which response to send. */
    BulkLoad(
            int longCount,
            int seconds,
            long seed,
            SiteModel site,
            EventLoopGroup loops,
            InetSocketAddress balancer,
            Map<String, BulkPair> pairsById) {
        this.longCount = longCount;
        this.seconds = seconds;
        this.seed = seed;
        this.site = site;
        this.loops = loops;
        this.balancer = balancer;
        this.pairsById = pairsById;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < longCount; i++) {
            longPairs.add(drawLong(i));
        }
    }

    /** All long exchanges, each in its latest attempt. */
    List<BulkPair> longPairs() {
        return longPairs;
    }

    /** The short exchanges that were started. */
    List<BulkPair> shortPairs() {
        return shortPairs;
    }

    /** The number of retries of rejected long exchanges. */
    int rejectedAndRetried() {
        return rejectedAndRetried.get();
    }

    /** Starts the exchanges that are due {@code elapsedNanos} after the start. */
    void startDue(long elapsedNanos) {
        double rampNanos = RAMP_SHARE * TimeUnit.SECONDS.toNanos(seconds);
        while (started < longCount && started < longCount * elapsedNanos / rampNanos) {
            open.add(sendLong(loops.next(), started, 0));
            started++;
        }
        while (shortPairs.size() < SHORT_PER_SECOND * elapsedNanos / 1e9) {
            BulkPair pair = drawShort();
            shortPairs.add(pair);
            open.add(BulkClient.send(loops.next(), balancer, pair, SHORT_BUDGET_MS, SOCKET_BUFFER_BYTES));
        }
    }

    /** Waits until all exchanges have ended, for up to the length of the drill: a busy machine may delay them. */
    void awaitEnd() throws InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture.allOf(open.toArray(new CompletableFuture<?>[0])).get(seconds, TimeUnit.SECONDS);
    }

    private BulkPair drawLong(int index) {
        BulkPair pair = BulkPair.draw(
                String.format("%08x%08x", seed, index),
                drawClass(),
                index % 2 == 0 ? Pace.SLOW_CLIENT : Pace.SLOW_NODE,
                SHORTEST_BYTES,
                LONGEST_BYTES,
                (long) (DIRECTION_SHARE * seconds * 1e3),
                random);
        pairsById.put(pair.id(), pair);
        return pair;
    }

    private BulkPair drawShort() {
        BulkPair pair = BulkPair.draw(
                String.format("s%07x%08x", seed, shortPairs.size()),
                drawClass(),
                Pace.NONE,
                SHORT_BYTES,
                SHORT_BYTES,
                0,
                random);
        pairsById.put(pair.id(), pair);
        return pair;
    }

    private RequestClassModel drawClass() {
        return site.classes().get(random.nextInt(site.classes().size()));
    }

    /** Sends a long exchange, and retries it if it is rejected: a rejected request had no effect. */
    private CompletableFuture<BulkPair> sendLong(EventLoop loop, int index, int retries) {
        BulkPair pair = longPairs.get(index);
        return BulkClient.send(loop, balancer, pair, 2_000L * seconds, SOCKET_BUFFER_BYTES)
                .thenCompose(ended -> {
                    if (ended.end() != End.REJECTED || retries == MAX_RETRIES) {
                        return CompletableFuture.completedFuture(ended);
                    }
                    return retryLong(loop, index, retries);
                });
    }

    private CompletableFuture<BulkPair> retryLong(EventLoop loop, int index, int retries) {
        rejectedAndRetried.incrementAndGet();
        CompletableFuture<BulkPair> result = new CompletableFuture<>();
        loop.schedule(
                () -> {
                    BulkPair rejected = longPairs.get(index);
                    BulkPair next = rejected.withId(rejected.id().substring(0, UNRETRIED_ID_LENGTH) + "-" + retries);
                    pairsById.put(next.id(), next);
                    longPairs.set(index, next);
                    sendLong(loop, index, retries + 1).thenAccept(result::complete);
                },
                RETRY_DELAY_MS,
                TimeUnit.MILLISECONDS);
        return result;
    }
}
