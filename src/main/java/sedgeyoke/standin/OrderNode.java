package sedgeyoke.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * An order node: so many cores of some speed, a queue, a memory for keys, load reports, and a cold start after which
 * it can be pushed over. Work takes time but no processor. What it does is written into the {@link Ledger}.
 */
public final class OrderNode {
    private static final long REPORT_EVERY = 500_000;
    private static final long KEY_WARM_FOR = 8_000_000;
    private static final double WARM_KEY_WORK = 0.6;
    private static final long REPEATS_KNOWN_FOR = 2_500_000;
    private static final int MOST_KEYS = 200;
    /** A little slack for chance, as the platform's rule has. */
    private static final double SLACK_REQUESTS = 2;

    private final SiteSpec.NodeSpec spec;
    private final SiteSpec site;
    private final EventLoop loop;
    private final LongSupplier clock;
    private final Ledger ledger;
    private final SplittableRandom random;
    /** Keys whose repeats the nodes of one zone drop: shared among them. */
    private final Map<String, Long> effects;
    private final Set<Channel> connections = new HashSet<>();
    private final Deque<Job> queue = new ArrayDeque<>();
    private final Deque<double[]> coldArrivals = new ArrayDeque<>();
    private final Map<String, Long> warmKeys = new LinkedHashMap<>(16, 0.75f, true);
    private Channel listener;
    private int port;
    private long process;
    private long launchedAt;
    private boolean silent;
    private boolean draining;
    private boolean fallen;
    private int working;
    private long busyTime;
    /** Core time that was worked since the start, whether or not it counted in a report. */
    private long busyTotal;
    private long measuredAt;
    private double reportedUtil;
    private int reportedQueue;
    private double serviceMs = 30;

    /** A request in its queue or at work. */
    private record Job(String id, String key, double work, boolean effect, ChannelHandlerContext ctx, long process) { }

    OrderNode(SiteSpec.NodeSpec spec, SiteSpec site, EventLoop loop, LongSupplier clock, Ledger ledger,
            Map<String, Long> zoneEffects, long seed) {
        this.spec = spec;
        this.site = site;
        this.loop = loop;
        this.clock = clock;
        this.ledger = ledger;
        this.effects = zoneEffects;
        this.random = new SplittableRandom(seed ^ spec.id().hashCode());
    }

    /** Listens on a port of its own, which it keeps over restarts. Not to be called on the loop. */
    void start() {
        listener = Http.listen(loop, 0, Connection::new);
        port = ((java.net.InetSocketAddress) listener.localAddress()).getPort();
        measuredAt = clock.getAsLong();
        loop.scheduleAtFixedRate(this::measure, REPORT_EVERY, REPORT_EVERY, TimeUnit.MICROSECONDS);
    }

    /** What the table of the demo shows. */
    public String state() {
        return fallen ? "fallen" : silent ? "silent" : draining ? "draining" : warmth() < 1 ? "cold" : "up";
    }

    /** What it is made of. */
    public SiteSpec.NodeSpec spec() {
        return spec;
    }

    /** Requests waiting and at work. */
    public int inFlight() {
        return queue.size() + working;
    }

    /** How busy its cores were lately, 0 to 1. */
    public double utilisation() {
        return reportedUtil;
    }

    /** Core time worked since the start, in microseconds; a share of the time of all its cores is its utilisation. */
    long worked() {
        return busyTotal;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    long launchedAt() {
        return launchedAt;
    }

    boolean draining() {
        return draining;
    }

    // ---- What may happen to it -----------------------------------------------------------------------

    /** The machine says nothing any more: requests are neither run nor answered. */
    public void vanish() {
        silent = true;
        process++;
        queue.clear();
        working = 0;
    }

    /** The process starts anew, cold, at its address; what it held is lost. */
    public void restart() {
        List.copyOf(connections).forEach(Channel::close);
        process++;
        queue.clear();
        working = 0;
        warmKeys.clear();
        coldArrivals.clear();
        silent = false;
        draining = false;
        fallen = false;
        launchedAt = clock.getAsLong();
    }

    /** It finishes what it has and wants nothing new. */
    public void drain() {
        draining = true;
    }

    /** Share of its capacity that it has now. */
    private double warmth() {
        if (launchedAt == 0) {
            return 1;
        }
        double age = (clock.getAsLong() - launchedAt) / 1e3 / site.rules().coldMs();
        return Math.min(1, site.rules().startCapacity() + (1 - site.rules().startCapacity()) * Math.max(0, age));
    }

    // ---- Requests ------------------------------------------------------------------------------------

    private void measure() {
        long now = clock.getAsLong();
        reportedUtil = Math.min(1, busyTime / (double) Math.max(1, (now - measuredAt) * spec.cores()));
        reportedQueue = queue.size();
        busyTime = 0;
        measuredAt = now;
    }

    private double draw(WorkClass cls) {
        double mean = cls.workMs() / 1e3;
        return Math.min(4 * mean, 0.4 * mean - 0.6 * mean * Math.log(1 - random.nextDouble()));
    }

    /** Guards the rule on cold nodes: every bit of work that arrives adds pressure, rejected work too. */
    private void press(double work, long now) {
        double warmth = warmth();
        if (launchedAt == 0 || warmth >= 1) {
            return;
        }
        coldArrivals.add(new double[] {now, work});
        long window = site.rules().fallMs() * 1_000;
        while (coldArrivals.peek()[0] <= now - window) {
            coldArrivals.poll();
        }
        double sent = coldArrivals.stream().mapToDouble(a -> a[1]).sum();
        double budget = site.rules().fallMultiple() * warmth * spec.capacity() * window / 1e6
                + SLACK_REQUESTS * site.meanWork();
        ledger.coldLoad(sent / budget);
        if (sent > budget && !fallen) {
            fallen = true;
            ledger.fell(spec.id());
            vanish();
        }
    }

    private void take(ChannelHandlerContext ctx, FullHttpRequest request) {
        long now = clock.getAsLong();
        String id = request.headers().get("X-Call-Id");
        WorkClass cls = id == null ? null : ledger.arrived(id, spec.id(), now);
        if (cls == null) {
            ctx.writeAndFlush(Http.answer(id == null ? 404 : 400, ""));
            return;
        }
        double work = draw(cls);
        press(work, now);
        if (silent) {
            return;
        }
        if (draining || queue.size() >= spec.queue()) {
            FullHttpResponse away = Http.answer(503, "");
            away.headers().set("X-Rejected", "1");
            report(away);
            ctx.writeAndFlush(away);
            return;
        }
        String idempotency = request.headers().get("Idempotency-Key");
        boolean effect = idempotency == null || !known(idempotency, now);
        String key = new QueryStringDecoder(request.uri()).parameters().getOrDefault("obj", List.of("")).get(0);
        queue.add(new Job(id, key, work, effect, ctx, process));
        next();
    }

    private boolean known(String idempotency, long now) {
        Long before = effects.get(idempotency);
        if (before != null && now - before < REPEATS_KNOWN_FOR) {
            return true;
        }
        effects.put(idempotency, now);
        return false;
    }

    private void next() {
        while (working < spec.cores() && !queue.isEmpty()) {
            Job job = queue.poll();
            working++;
            if (job.effect()) {
                ledger.ran(job.id(), spec.id());
            }
            long now = clock.getAsLong();
            Long met = warmKeys.put(job.key(), now);
            if (warmKeys.size() > MOST_KEYS) {
                warmKeys.remove(warmKeys.keySet().iterator().next());
            }
            double work = met != null && now - met < KEY_WARM_FOR ? job.work() * WARM_KEY_WORK : job.work();
            long takes = (long) (work * 1e6 / (spec.speed() * warmth()));
            loop.schedule(() -> done(job, takes), takes, TimeUnit.MICROSECONDS);
        }
    }

    private void done(Job job, long took) {
        if (job.process() != process) {
            return; // the process that did it is gone
        }
        working--;
        busyTime += took;
        busyTotal += took;
        serviceMs += 0.1 * (took / 1e3 - serviceMs);
        FullHttpResponse answer = Http.answer(200, "done " + job.id());
        report(answer);
        job.ctx().writeAndFlush(answer);
        next();
    }

    private void report(FullHttpResponse answer) {
        answer.headers().set("X-Load-Report", "{\"waiting\":" + reportedQueue + ",\"cpu\":"
                + Math.round(reportedUtil * 1_000) / 1e3 + ",\"avg_ms\":" + Math.round(serviceMs * 10) / 10.0 + "}");
    }

    /** One connection of a balancer. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            take(ctx, request);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                cause.printStackTrace();
            }
            ctx.close();
        }
    }

    /** Its repeats known by key in a zone; for the nodes of one zone to share. */
    static Map<String, Long> zoneMemory() {
        return new HashMap<>();
    }
}
