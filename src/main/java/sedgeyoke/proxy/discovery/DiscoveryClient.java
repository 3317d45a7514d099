package sedgeyoke.proxy.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.EndpointList;
import sedgeyoke.proxy.config.InvalidEndpointListException;

/**
 * Fetches the complete endpoint list from discovery and then watches it, one call after the other. A failed call
 * changes nothing: the last list stays in force. This class schedules the calls; {@link RevisionTracker} decides which
 * answers are accepted, and {@link DiscoveryTimings} defines the timeouts and explains them.
 *
 * <p>An answer may be lost without any sign: an agent may stay silent, or begin an answer and never end it. So after a
 * timeout ({@link DiscoveryTimings}) discovery is called on a second connection, while an answer that is only slow may
 * still arrive on the first one ({@link OverdueAnswer}).
 *
 * <p>Where discovery is one service for all balancers, the first call continues from the configured list: complete
 * lists are expensive there and would delay each other when many balancers start at once. Times are microseconds. Event
 * loop only.
 */
public final class DiscoveryClient implements DiscoveryConnection.Listener {
    /**
     * A watch that ends sooner than this without a change is renewed only after a pause, to avoid a busy loop of calls.
     */
    private static final long MIN_WATCH_MICROS = 50_000;

    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    private static final long MIN_PAUSE_MICROS = 20_000;
    /** Random part of the pause between calls, in whole milliseconds. */
    private static final int PAUSE_JITTER_MILLIS = 80;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final Transport transport;
    private final LongSupplier clockMicros;
    private final Listener listener;
    private final RateLimitedLog log;
    private final DiscoveryFailures failures;
    private final Random random;
    private final Bootstrap bootstrap;
    private final DiscoveryTimings timings;
    private final RevisionTracker revisions;
    private final OverdueAnswer overdueAnswer;
    /**
     * Whether an agent on this machine pushes lists. Otherwise the policy decides when to poll a shared service again.
     */
    private final boolean pushed;

    private InetSocketAddress address;
    /** The connection of the latest call, or null. */
    private DiscoveryConnection current;

    private boolean watching;
    private boolean callInProgress;
    private long callStartedMicros;
    private Future<?> silenceTimer;
    /** How long the next answer may take beyond the wait of its call before it is overdue. */
    private long silenceMicros;
    /**
     * Whether the next call asks for an immediate answer, because a waiting watch cannot be told from a silent agent.
     */
    private boolean withoutWait;

    private boolean hasList;
    /** Whether the listener has been notified of a failed call and of no successful one since. */
    private boolean failureReported;

    /** Receives the results of calls to discovery. */
    public interface Listener {
        /** Called with a complete list or with changes, possibly none. */
        void listed(EndpointList list);

        /** Called when discovery has answered, after {@link #listed} if that is called for the answer. */
        void confirmed();

        /**
         * Called when a poll of the shared service has failed; it is repeated only after the next {@link
         * #startWatching}.
         */
        void unavailable();
    }

    /** Creates a client that sends nothing before {@link #startWatching} or {@link #fetch}. */
    public DiscoveryClient(
            EventLoop loop,
            BalancerConfig config,
            Transport transport,
            LongSupplier clockMicros,
            Listener listener,
            RateLimitedLog log,
            DiscoveryMetrics metrics) {
        this.loop = loop;
        this.config = config;
        this.transport = transport;
        this.clockMicros = clockMicros;
        this.listener = listener;
        this.log = log;
        this.failures = new DiscoveryFailures(clockMicros, log, metrics);
        this.random = new Random(config.seed());
        this.address = config.discovery();
        this.pushed = !config.instanceSettings().settings().subscribesToEndpoints();
        this.timings = DiscoveryTimings.of(
                config.instanceSettings().settings(),
                pushed,
                config.configuredEndpoints().members().size());
        this.silenceMicros = timings.firstSilenceMicros();
        boolean completeListNeeded =
                pushed || config.configuredEndpoints().members().isEmpty();
        this.revisions = new RevisionTracker(config.configuredEndpoints().revision(), completeListNeeded);
        this.overdueAnswer = new OverdueAnswer(loop);
        this.withoutWait = true; // the configured list may be old: do not wait for changes since
        this.hasList = !completeListNeeded; // clients need not wait for an answer without changes
        long connectTimeoutMicros = Math.min(CONNECT_TIMEOUT_MICROS, timings.completeListSilenceMicros());
        this.bootstrap = transport.client(loop).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                (connectTimeoutMicros / TimeUnits.MICROS_PER_MILLI));
    }

    /** Whether there is a list: either discovery has sent one, or the watch continues from the configured list. */
    public boolean hasList() {
        return hasList;
    }

    /** Starts or continues watching: calls discovery now, or when the current call has ended. */
    public void startWatching() {
        watching = true;
        if (!callInProgress) {
            call();
        }
    }

    /** Stops watching; the current call is the last one. */
    public void stopWatching() {
        watching = false;
    }

    private void continueWatching() {
        if (watching) {
            startWatching();
        }
    }

    /** Fetches the complete list now; a watch in progress is aborted. */
    public void fetch() {
        revisions.requireCompleteList();
        endCalls();
        call();
    }

    /**
     * Switches to another address. Revisions may differ there, so the complete list is fetched. The last list stays in
     * force until then, and responses from the old address are ignored.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        log.state("discovery: address changed from " + address + " to " + newAddress);
        address = newAddress;
        revisions.reset();
        boolean interrupted = callInProgress;
        endCalls();
        if (interrupted) {
            call();
        }
    }

    // ---- Calls ---------------------------------------------------------------------------------------

    private void call() {
        callInProgress = true;
        boolean completeList = revisions.completeListNeeded();
        long waitMicros = completeList || withoutWait ? 0 : timings.watchWaitMicros();
        if (current == null || !current.isReusable()) {
            current = new DiscoveryConnection(loop, bootstrap, transport.at(address), address, this, log);
        }
        callStartedMicros = clockMicros.getAsLong();
        long allowedSilenceMicros =
                completeList ? Math.max(silenceMicros, timings.completeListSilenceMicros()) : silenceMicros;
        silenceTimer = loop.schedule(this::retryOverdueCall, waitMicros + allowedSilenceMicros, TimeUnit.MICROSECONDS);
        current.call(completeList ? "/catalog/members" : watchUri(waitMicros));
    }

    private String watchUri(long waitMicros) {
        return "/catalog/members?from=" + revisions.revision() + "&hold_ms=" + waitMicros / TimeUnits.MICROS_PER_MILLI;
    }

    /**
     * Calls again on another connection. The overdue answer may still arrive, unless an earlier one is already awaited.
     */
    private void retryOverdueCall() {
        failures.answerOverdue(callStartedMicros);
        if (overdueAnswer.isAwaited()) {
            current.close();
        } else {
            overdueAnswer.await(current, timings.overdueMicros());
        }
        current = null;
        withoutWait = true;
        silenceMicros = timings.nextSilenceMicros(silenceMicros);
        call();
    }

    private void endCalls() {
        callInProgress = false;
        overdueAnswer.abandon();
        if (silenceTimer != null) {
            silenceTimer.cancel(false);
        }
        closeCurrent();
    }

    private void closeCurrent() {
        if (current != null) {
            current.close();
            current = null;
        }
    }

    @Override
    public void broken(DiscoveryConnection connection, String reason) {
        if (overdueAnswer.isAwaitedOn(connection)) {
            overdueAnswer.abandon();
        } else if (connection == current) {
            failed(reason);
        }
    }

    private void failed(String reason) {
        callInProgress = false;
        withoutWait = true;
        silenceTimer.cancel(false);
        closeCurrent(); // after an invalid response the connection is unusable
        failures.callFailed(callStartedMicros, reason);
        if (pushed) {
            continueAfterPause();
        } else { // the policy decides when to poll again
            watching = false;
            failureReported = true;
            listener.unavailable();
        }
    }

    /** Continues watching after a pause that is short enough not to count as an interruption of the watch. */
    private void continueAfterPause() {
        long pauseMicros = MIN_PAUSE_MICROS + TimeUnits.MICROS_PER_MILLI * random.nextInt(PAUSE_JITTER_MILLIS);
        loop.schedule(this::continueWatching, pauseMicros, TimeUnit.MICROSECONDS);
    }

    // ---- Answers -------------------------------------------------------------------------------------

    @Override
    public void responded(DiscoveryConnection connection, FullHttpResponse response) {
        if (overdueAnswer.isAwaitedOn(connection)) {
            respondedLate(response);
        } else if (connection == current) {
            silenceTimer.cancel(false);
            overdueAnswer.abandon(); // it is older than this answer
            respondedInTime(response);
        } else {
            connection.close();
        }
    }

    /** Accepts a list that arrives after its call was retried; the retried call continues. */
    private void respondedLate(FullHttpResponse response) {
        EndpointList list;
        try {
            list = EndpointListResponse.read(response, config.instanceSettings());
        } catch (InvalidEndpointListException e) {
            overdueAnswer.abandon();
            return;
        }
        overdueAnswer.abandon();
        if (revisions.acceptsOverdue(list)) {
            revisions.advanceTo(list);
            accepted(list);
        }
    }

    private void respondedInTime(FullHttpResponse response) {
        EndpointList list;
        try {
            list = EndpointListResponse.read(response, config.instanceSettings());
        } catch (InvalidEndpointListException e) {
            failed(e.getMessage());
            return;
        }
        if (!revisions.accepts(list)) {
            failed("revision " + list.revision() + " after " + revisions.revision());
            return;
        }
        boolean changed = withoutWait || revisions.isChangedBy(list);
        withoutWait = false;
        callInProgress = false;
        silenceMicros = timings.silenceMicros();
        revisions.advanceTo(list);
        // Send the next call before passing the list on: the watch counts as interrupted if the call is late.
        if (!changed && clockMicros.getAsLong() - callStartedMicros < MIN_WATCH_MICROS) {
            continueAfterPause();
        } else if (watching) {
            call();
        }
        accepted(list);
    }

    private void accepted(EndpointList list) {
        hasList = true;
        failures.recovered();
        if (list.complete() || !list.members().isEmpty() || failureReported) {
            failureReported = false;
            listener.listed(list);
        }
        listener.confirmed();
    }
}
