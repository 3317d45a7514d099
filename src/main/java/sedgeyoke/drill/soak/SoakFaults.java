package sedgeyoke.drill.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import sedgeyoke.drill.soak.SystemFaults.Errno;
import sedgeyoke.drill.soak.SystemFaults.Field;
import sedgeyoke.standin.AnswerFault;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/**
 * Injects one fault after the other into a run, as the seed draws them, and undoes each after a while. Faults of
 * different kinds overlap; of the balancers at most a third is down at a time, and of the nodes at most a third.
 */
final class SoakFaults implements AutoCloseable {
    private static final long MIN_INTERVAL_MS = 150;
    private static final long FURTHER_INTERVAL_MS = 500;
    /** Agents fall silent only once every balancer can have what they had before; nothing could tell it later. */
    private static final long SETTLED_NANOS = 1_500_000_000;

    /** In that time the answers that were to be spoilt are, so that no more than two in a row are. */
    private static final long SPOILT_NANOS = 1_200_000_000;

    private static final int UNDOING_THREADS = 12;
    private static final long RESTART_TIMEOUT_MS = 30_000;
    private static final int[] CLOCK_STEPS = {-3_600, -5, 5, 3_600, 0};
    private static final List<Errno> CONNECT_ERRORS = List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS);
    private static final List<Errno> SOCKET_ERRORS = List.of(Errno.ENFILE, Errno.ENOBUFS);
    private static final List<Errno> ACCEPT_ERRORS = List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.ENOBUFS);

    private final Site site;
    private final SoakPlan plan;
    private final Mistake mistake;
    private final List<SoakBalancer> balancers;
    private final EventLog events;
    private final SplittableRandom random;
    private final ScheduledExecutorService undoing = Executors.newScheduledThreadPool(UNDOING_THREADS);
    private final Set<SoakBalancer> busyBalancers = new HashSet<>();
    private final Set<String> busyNodes = new HashSet<>();
    private final List<String> failures = new ArrayList<>();
    private boolean discoverySilent;
    private long lastChangeNanos;
    private long lastSpoiltNanos;

    /** A fault that may fail to be injected. */
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    SoakFaults(Site site, SoakPlan plan, Mistake mistake, List<SoakBalancer> balancers, EventLog events) {
        this.site = site;
        this.plan = plan;
        this.mistake = mistake;
        this.balancers = balancers;
        this.events = events;
        this.random = new SplittableRandom(plan.seed());
    }

    /** Injects faults for so long, and returns once the last balancer that was restarted is back. */
    void runFor(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            Thread.sleep(MIN_INTERVAL_MS + random.nextLong(FURTHER_INTERVAL_MS));
            injectOne();
        }
        undoing.shutdown();
        if (!undoing.awaitTermination(RESTART_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            fail("faults were not undone in time");
        }
    }

    /** What the balancers must not have done, other than by the rules: not to start, or not to end. */
    synchronized List<String> failures() {
        return List.copyOf(failures);
    }

    private synchronized void fail(String text) {
        failures.add(text);
    }

    private void injectOne() throws IOException, InterruptedException {
        switch (random.nextInt(12)) {
            case 0, 1 -> drain();
            case 2 -> restartNode();
            case 3 -> removeNode();
            case 4 -> resetConnections();
            case 5, 6 -> spoilAnswers();
            case 7 -> silenceDiscovery();
            case 8 -> terminateBalancer();
            case 9 -> killBalancer();
            case 10 -> signalBalancer();
            default -> failSystemCalls();
        }
    }

    // ---- Nodes ---------------------------------------------------------------------------------------

    private OrderNode takeNode() {
        List<OrderNode> free = new ArrayList<>();
        synchronized (this) {
            site.nodes().stream()
                    .filter(node -> !busyNodes.contains(node.spec().id()))
                    .forEach(free::add);
            if (3 * (busyNodes.size() + 1) > site.nodes().size()) {
                return null;
            }
            OrderNode node = free.get(random.nextInt(free.size()));
            busyNodes.add(node.spec().id());
            lastChangeNanos = System.nanoTime();
            return node;
        }
    }

    private void drain() {
        breakNode(Site.Fault.DRAIN, 2_000 + random.nextLong(2_000));
    }

    private void removeNode() {
        breakNode(Site.Fault.REMOVE, 1_500 + random.nextLong(2_000));
    }

    /** It comes back cold; the balancers are kept from the next fault at it until it is warm again. */
    private void breakNode(Site.Fault fault, long millis) {
        OrderNode node = takeNode();
        if (node == null) {
            return;
        }
        String id = node.spec().id();
        site.injectFault(id, fault);
        events.add(fault.toString(), id + " for " + millis + " ms");
        later(millis, () -> {
            site.injectFault(id, Site.Fault.RESTART);
            events.add("UP", id + " again, cold");
        });
        later(millis + 2_000, () -> release(id));
    }

    private void restartNode() {
        OrderNode node = takeNode();
        if (node == null) {
            return;
        }
        String id = node.spec().id();
        long silentMillis = random.nextLong(600);
        site.injectFault(id, Site.Fault.UNRESPONSIVE);
        events.add("RESTART", id + " after " + silentMillis + " ms of silence");
        later(silentMillis, () -> site.injectFault(id, Site.Fault.RESTART));
        later(silentMillis + 2_000, () -> release(id));
    }

    private synchronized void release(String node) {
        busyNodes.remove(node);
    }

    private void resetConnections() {
        OrderNode node = site.nodes().get(random.nextInt(site.nodes().size()));
        events.add("RESET", node.spec().id());
        site.injectFault(node.spec().id(), Site.Fault.RESET_CONNECTIONS);
    }

    // ---- Discovery -----------------------------------------------------------------------------------

    /** Up to two answers in a row, at one balancer or at all of them; often a drain follows at once. */
    private void spoilAnswers() {
        synchronized (this) {
            if (System.nanoTime() - lastSpoiltNanos < SPOILT_NANOS) {
                return;
            }
            lastSpoiltNanos = System.nanoTime();
        }
        AnswerFault[] all = AnswerFault.values();
        List<AnswerFault> faults = new ArrayList<>();
        for (int i = random.nextInt(2); i >= 0; i--) {
            faults.add(all[random.nextInt(all.length)]);
        }
        boolean everywhere = random.nextBoolean();
        SoakBalancer one = balancers.get(random.nextInt(balancers.size()));
        events.add("SPOIL", faults + " at " + (everywhere ? "all" : one.name()));
        for (SoakBalancer balancer : everywhere ? balancers : List.of(one)) {
            balancer.failDiscoveryAnswers(faults);
        }
        if (random.nextBoolean()) {
            drain();
        }
    }

    private void silenceDiscovery() {
        if (plan.polled()) {
            return; // a shared service that is down answers, or resets: see the other faults
        }
        synchronized (this) {
            if (discoverySilent || System.nanoTime() - lastChangeNanos < SETTLED_NANOS) {
                return;
            }
            discoverySilent = true;
        }
        long millis = 300 + random.nextLong(3_000);
        events.add("SILENT", "discovery for " + millis + " ms");
        site.setDiscoverySilent(true);
        later(millis, () -> {
            site.setDiscoverySilent(false);
            synchronized (this) {
                discoverySilent = false;
            }
        });
    }

    // ---- Balancers -----------------------------------------------------------------------------------

    private SoakBalancer takeBalancer() {
        synchronized (this) {
            List<SoakBalancer> free = balancers.stream()
                    .filter(each -> !busyBalancers.contains(each))
                    .toList();
            if (free.isEmpty() || busyBalancers.size() >= Math.max(1, balancers.size() / 3)) {
                return null;
            }
            SoakBalancer balancer = free.get(random.nextInt(free.size()));
            busyBalancers.add(balancer);
            return balancer;
        }
    }

    private synchronized void release(SoakBalancer balancer) {
        busyBalancers.remove(balancer);
    }

    private void terminateBalancer() {
        SoakBalancer balancer = takeBalancer();
        if (balancer == null) {
            return;
        }
        int signals = 1 + random.nextInt(2);
        boolean reloadFirst = random.nextBoolean();
        long downMillis = random.nextLong(400);
        events.add("TERM", balancer.name() + " signals " + signals + (reloadFirst ? " after a reload" : ""));
        later(0, () -> {
            if (reloadFirst) {
                balancer.moveDiscovery();
            }
            if (mistake == Mistake.REQUESTS_LOST) {
                balancer.killUnannounced();
            } else if (!balancer.terminate(signals)) {
                fail(balancer.name() + " had not ended by itself when SIGKILL came");
            }
            restart(balancer, downMillis);
        });
    }

    private void killBalancer() {
        SoakBalancer balancer = takeBalancer();
        if (balancer == null) {
            return;
        }
        long downMillis = random.nextLong(1_000);
        events.add("KILL", balancer.name() + ", down for " + downMillis + " ms");
        later(0, () -> {
            balancer.killAnnounced();
            restart(balancer, downMillis);
        });
    }

    private synchronized boolean isDiscoverySilent() {
        return discoverySilent;
    }

    /** Its configuration stays as it was last written, so that the endpoints that it starts with may be old. */
    private void restart(SoakBalancer balancer, long downMillis) throws IOException, InterruptedException {
        Thread.sleep(downMillis);
        if (isDiscoverySilent()) {
            balancer.configure(); // nothing else could tell it what changed before the silence
        }
        balancer.start();
        balancer.awaitListening(RESTART_TIMEOUT_MS);
        events.add("STARTED", balancer.name());
        release(balancer);
    }

    private void signalBalancer() {
        SoakBalancer balancer = takeBalancer();
        if (balancer == null) {
            return;
        }
        int moves = random.nextInt(3);
        long stallMillis = 20 + random.nextLong(130);
        events.add(
                "SIGNAL", balancer.name() + (moves > 0 ? " reloads " + moves : " stopped for " + stallMillis + " ms"));
        later(0, () -> {
            for (int i = 0; i < moves; i++) {
                balancer.moveDiscovery();
            }
            if (moves == 0) {
                balancer.stall(stallMillis);
            }
            release(balancer);
        });
    }

    private void failSystemCalls() throws IOException {
        SoakBalancer balancer = balancers.get(random.nextInt(balancers.size()));
        int kind = random.nextInt(5);
        int step = CLOCK_STEPS[random.nextInt(CLOCK_STEPS.length)];
        int choice = random.nextInt(12);
        long millis = 100 + random.nextLong(400);
        SystemFaults faults = balancer.systemFaults();
        if (faults == null) {
            return;
        }
        switch (kind) {
            case 0 -> {
                events.add("CLOCK", balancer.name() + " wall clock " + step + " s off");
                faults.set(Field.WALL_SECONDS, step);
            }
            case 1 -> failCall(
                    balancer, Field.CONNECT_ERROR, CONNECT_ERRORS.get(choice % CONNECT_ERRORS.size()), millis);
            case 2 -> failCall(balancer, Field.SOCKET_ERROR, SOCKET_ERRORS.get(choice % SOCKET_ERRORS.size()), millis);
            case 3 -> failCall(balancer, Field.ACCEPT_ERROR, ACCEPT_ERRORS.get(choice % ACCEPT_ERRORS.size()), millis);
            default -> {
                events.add("SHORT", balancer.name() + " reads and writes for " + millis + " ms");
                faults.set(Field.MOST_BYTES, 1 + choice * 10);
                faults.set(Field.INTERRUPT_EVERY, 2 + choice);
                later(millis, () -> {
                    faults.set(Field.MOST_BYTES, 0);
                    faults.set(Field.INTERRUPT_EVERY, 0);
                });
            }
        }
    }

    private void failCall(SoakBalancer balancer, Field call, Errno error, long millis) throws IOException {
        events.add("CALLS", balancer.name() + " " + call + " " + error + " for " + millis + " ms");
        balancer.systemFaults().set(call, error);
        later(millis, () -> balancer.systemFaults().set(call, 0));
    }

    private void later(long millis, Action action) {
        try {
            undoing.schedule(() -> runOrFail(action), millis, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            fail("a fault was injected after the end: " + e.getMessage());
        }
    }

    private void runOrFail(Action action) {
        try {
            action.run();
        } catch (IOException e) {
            fail(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        undoing.shutdownNow();
    }
}
