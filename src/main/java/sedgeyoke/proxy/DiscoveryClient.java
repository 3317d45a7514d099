package sedgeyoke.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Fetches the complete endpoint list from discovery and then watches it, with one call after the other. A call that
 * fails changes nothing: the last list stays in force.
 *
 * <p>What an answer brings may be lost without a sign: an agent can be silent, or begin an answer and not end it. So no
 * answer is awaited alone for longer than {@link DiscoveryTimings} say: from then on discovery is called on a second
 * connection, while an answer that is only slow may still come on the first.
 *
 * <p>Where discovery is one service for all balancers, the first call continues from the list of the configuration, as
 * complete lists are expensive there and would delay each other when many balancers start at once. Event loop only.
 */
final class DiscoveryClient implements DiscoveryConnection.Listener {
    /** A watch that ends sooner than that without changes is renewed only after a pause, or calls would never rest. */
    private static final long MIN_WATCH_NANOS = 50_000_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int MIN_PAUSE_MILLIS = 20;
    private static final int PAUSE_JITTER_MILLIS = 80;
    /** So many answers in a row have to have an older revision before it is believed that discovery lost its state. */
    private static final int ANSWERS_THAT_CONFIRM_OLDER_REVISION = 2;

    private static final long NO_REVISION = Long.MIN_VALUE;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final Transport transport;
    private final Listener listener;
    private final RateLimitedLog log;
    private final DiscoveryMetrics metrics;
    private final Random random;
    private final Bootstrap bootstrap;
    /** Whether an agent on this machine pushes lists; else the policy decides when to poll a shared service again. */
    private final boolean pushed;

    private final DiscoveryTimings timings;

    private InetSocketAddress address;
    /** The connection of the latest call; null if there is none. */
    private DiscoveryConnection current;
    /** A connection whose answer is overdue and may still come; null if there is none. */
    private DiscoveryConnection overdue;

    private boolean watching;
    private boolean callInProgress;
    private Future<?> silenceTimer;
    private Future<?> overdueTimer;
    private long callStartedNanos;
    private int silenceMillis;

    private boolean completeListNeeded;
    private boolean listed;
    private long revision;
    /** Answers in a row that had an older revision than the list in force. */
    private int olderRevisions;
    /** Whether the listener was notified of a failed call and of no successful one since. */
    private boolean failureReported;
    /** The next call returns at once, as waiting cannot be distinguished from silence. */
    private boolean withoutWait;
    /** When the first of the calls that have failed in a row began; 0 if the last one succeeded. */
    private long failingSinceNanos;

    /** Receives what discovery answers. */
    interface Listener {
        /** A list has come, complete or with changes, perhaps none. */
        void listed(EndpointList list);

        /** Discovery has answered, and what it had to tell has been handed over. */
        void confirmed();

        /** A poll of the shared service has failed; it is not repeated before {@link #watch} is called again. */
        void unavailable();
    }

    DiscoveryClient(
            EventLoop loop,
            BalancerConfig config,
            Transport transport,
            Listener listener,
            RateLimitedLog log,
            DiscoveryMetrics metrics) {
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        this.log = log;
        this.metrics = metrics;
        this.transport = transport;
        this.random = new Random(config.seed());
        this.address = config.discovery();
        this.pushed = !config.instanceSettings().settings().subscribesToEndpoints();
        this.timings = DiscoveryTimings.of(
                config.instanceSettings().settings(),
                pushed,
                config.known().members().size());
        this.silenceMillis = timings.firstSilence();
        this.completeListNeeded = pushed || config.known().members().isEmpty();
        this.withoutWait = true; // the configured list may be old: what has changed since must not wait
        this.listed = !completeListNeeded; // clients need not wait for an answer without changes
        this.revision = config.known().revision();
        this.bootstrap = transport
                .client(loop)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.min(CONNECT_TIMEOUT_MILLIS, timings.completeListSilence()));
    }

    /** Whether a list is known: discovery has sent one, or a watch continues from the one of the configuration. */
    boolean listed() {
        return listed;
    }

    /** Starts watching, or stops after the current call. */
    void watch(boolean enabled) {
        watching = enabled;
        if (enabled && !callInProgress) {
            call();
        }
    }

    /** Fetches the complete list now; a watch in progress is aborted. */
    void fetch() {
        completeListNeeded = true;
        endCalls();
        call();
    }

    /**
     * Continues at another address. Revisions may differ there, so the complete list is fetched; the last one stays in
     * force until then, and responses from the old address are ignored.
     */
    void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        log.state("discovery: moves from " + address + " to " + newAddress);
        address = newAddress;
        completeListNeeded = true;
        revision = NO_REVISION;
        boolean interrupted = callInProgress;
        endCalls();
        if (interrupted) {
            call();
        }
    }

    // ---- Calls ---------------------------------------------------------------------------------------

    private void call() {
        callInProgress = true;
        int waitMillis = completeListNeeded || withoutWait ? 0 : timings.watchWait();
        String uri = "/catalog/members" + (completeListNeeded ? "" : "?from=" + revision + "&hold_ms=" + waitMillis);
        if (current == null || !current.isReusable()) {
            current = new DiscoveryConnection(loop, bootstrap, transport.at(address), address, this, log);
        }
        callStartedNanos = System.nanoTime();
        int silence = completeListNeeded ? Math.max(silenceMillis, timings.completeListSilence()) : silenceMillis;
        silenceTimer = loop.schedule(this::noAnswerInTime, waitMillis + silence, TimeUnit.MILLISECONDS);
        current.call(uri);
    }

    /** Calls again on another connection; the answer that is overdue may still come, if none else is awaited. */
    private void noAnswerInTime() {
        metrics.count(DiscoveryMetrics.Event.ANSWER_OVERDUE);
        log.state("discovery: no complete answer after " + sinceMillis(callStartedNanos) + " ms, asks again");
        noteFailing();
        if (overdue == null) {
            overdue = current;
            overdueTimer = loop.schedule(this::dropOverdue, timings.overdue(), TimeUnit.MILLISECONDS);
        } else {
            current.close();
        }
        current = null;
        withoutWait = true;
        silenceMillis = timings.nextSilence(silenceMillis);
        call();
    }

    private void dropOverdue() {
        if (overdue != null) {
            overdueTimer.cancel(false);
            overdue.close();
            overdue = null;
        }
    }

    private void endCalls() {
        callInProgress = false;
        dropOverdue();
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        if (current != null) {
            current.close();
            current = null;
        }
    }

    @Override
    public void broken(DiscoveryConnection connection, String reason) {
        if (connection == overdue) {
            dropOverdue();
        } else if (connection == current) {
            failed(reason);
        }
    }

    private void failed(String reason) {
        callInProgress = false;
        withoutWait = true;
        silenceTimer.cancel(false);
        if (current != null) {
            current.close(); // an invalid response may have left anything behind on it
            current = null;
        }
        metrics.count(DiscoveryMetrics.Event.CALL_FAILED);
        if (failingSinceNanos == 0) {
            log.state("discovery: " + reason);
        } else {
            log.line("discovery: " + reason);
        }
        noteFailing();
        if (pushed) {
            continueAfterPause();
        } else { // the policy decides when to poll again
            watching = false;
            failureReported = true;
            listener.unavailable();
        }
    }

    private void noteFailing() {
        if (failingSinceNanos == 0) {
            failingSinceNanos = callStartedNanos;
        }
    }

    /** Continues watching after a pause that is too short for the watch to count as interrupted. */
    private void continueAfterPause() {
        loop.schedule(
                () -> watch(watching), MIN_PAUSE_MILLIS + random.nextInt(PAUSE_JITTER_MILLIS), TimeUnit.MILLISECONDS);
    }

    private static long sinceMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }

    // ---- Answers -------------------------------------------------------------------------------------

    @Override
    public void responded(DiscoveryConnection connection, FullHttpResponse response) {
        if (connection == overdue) {
            respondedLate(response);
        } else if (connection == current) {
            silenceTimer.cancel(false);
            dropOverdue(); // what it brings was put together before this answer
            respondedInTime(response);
        } else {
            connection.close();
        }
    }

    /** Takes over a list that comes although discovery was called again meanwhile; that call goes on. */
    private void respondedLate(FullHttpResponse response) {
        EndpointList list;
        try {
            list = read(response);
        } catch (InvalidEndpointListException e) {
            dropOverdue();
            return;
        }
        dropOverdue();
        if (list.revision() >= revision && (list.complete() || !completeListNeeded)) {
            completeListNeeded = false;
            accepted(list);
        }
    }

    private void respondedInTime(FullHttpResponse response) {
        EndpointList list;
        try {
            list = read(response);
        } catch (InvalidEndpointListException e) {
            failed(e.getMessage());
            return;
        }
        if (list.revision() < revision && !confirmsOlderRevision(list)) {
            return;
        }
        boolean changed = completeListNeeded || withoutWait || list.revision() != revision;
        withoutWait = false;
        callInProgress = false;
        silenceMillis = timings.silence();
        // The next call goes out before the list is passed on, as the watch counts as interrupted if that is late.
        revision = list.revision();
        completeListNeeded = false;
        if (!changed && System.nanoTime() - callStartedNanos < MIN_WATCH_NANOS) {
            continueAfterPause();
        } else if (watching) {
            call();
        }
        accepted(list);
    }

    private EndpointList read(FullHttpResponse response) throws InvalidEndpointListException {
        if (response.status().code() != 200 || response.decoderResult().isFailure()) {
            throw new InvalidEndpointListException("answered " + response.status());
        }
        try {
            return EndpointList.read(
                    BalancerConfig.JSON.readTree(ByteBufUtil.getBytes(response.content())), config.instanceSettings());
        } catch (InvalidEndpointListException e) {
            throw new InvalidEndpointListException("malformed list: " + e.getMessage());
        } catch (JsonProcessingException e) {
            throw new InvalidEndpointListException(
                    "malformed list: " + e.getMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * An older revision comes from a replica of discovery that is late, or from a discovery that has lost its state.
     * The first would make ready what drains, so it is believed only if another answer says the same, and only as a
     * complete list: changes relative to an older list would leave ours wrong for good.
     */
    private boolean confirmsOlderRevision(EndpointList list) {
        olderRevisions++;
        if (list.complete() && olderRevisions >= ANSWERS_THAT_CONFIRM_OLDER_REVISION) {
            return true;
        }
        completeListNeeded = true;
        failed("revision " + list.revision() + " after " + revision);
        return false;
    }

    private void accepted(EndpointList list) {
        olderRevisions = 0;
        listed = true;
        revision = list.revision();
        if (failingSinceNanos != 0) {
            log.state("discovery: answers again after " + sinceMillis(failingSinceNanos) + " ms");
            failingSinceNanos = 0;
        }
        if (list.complete() || !list.members().isEmpty() || failureReported) {
            failureReported = false;
            listener.listed(list);
        }
        listener.confirmed();
    }
}
