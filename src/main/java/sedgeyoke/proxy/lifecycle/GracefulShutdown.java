package sedgeyoke.proxy.lifecycle;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sedgeyoke.proxy.client.HttpFrontend;
import sedgeyoke.proxy.core.ProxyCore;

/**
 * Runs a graceful shutdown. Clients keep using their connections, and another balancer may be down at the same time, so
 * requests are served for as long as their responses are certain to be sent before SIGKILL. Event loop only, except
 * {@link #awaitCompletion}.
 *
 * <p>{@link ShutdownDeadlines} delimits its phases:
 *
 * <ol>
 *   <li>Draining, from the start: health checks fail, all requests are served. If other processes share the listener,
 *       they accept all new connections from now on.
 *   <li>Not listening, from {@code listenUntil}: a listener that is not shared is closed once its backlog is empty;
 *       requests on open connections are served.
 *   <li>Closing, from {@code lastRequest}: new requests are rejected, and each connection is closed after its response.
 *   <li>Ending, from {@code lastResponse}: open requests are answered or aborted, and connections are closed.
 * </ol>
 *
 * <p>The shutdown is complete when, after {@code listenUntil}, no exchange and no client connection is open.
 */
final class GracefulShutdown {
    private static final long CHECK_INTERVAL_MICROS = 5_000;

    private final EventLoop loop;
    private final ProxyCore core;
    private final HttpFrontend frontend;
    private final ShutdownDeadlines deadlines;
    private final CountDownLatch completed;

    /** Several shutdowns of one balancer share {@code completed}, so that the second one completes with the first. */
    GracefulShutdown(
            EventLoop loop,
            ProxyCore core,
            HttpFrontend frontend,
            ShutdownDeadlines deadlines,
            CountDownLatch completed) {
        this.loop = loop;
        this.core = core;
        this.frontend = frontend;
        this.deadlines = deadlines;
        this.completed = completed;
    }

    void start() {
        frontend.drain();
        if (frontend.isListenerShared()) {
            frontend.handOver(); // connections in the backlog are accepted by the other process
        }
        check();
    }

    /** Checks the time at short intervals instead of setting a timer for each deadline, because deadlines may move. */
    private void check() {
        long nowMicros = core.now();
        long delayMicros = deadlines.recordCheck(nowMicros);
        core.limitTimes(deadlines.lastResponseMicros(), deadlines.lastRequestMicros());
        stopListeningOnceDue(nowMicros, delayMicros);
        closeConnectionsOnceDue(nowMicros);
        endExchangesOnceDue(nowMicros);
        completeOnceIdle(nowMicros);
        deadlines.scheduleCheck(core.now() + CHECK_INTERVAL_MICROS);
        loop.schedule(this::check, CHECK_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    /**
     * Does not close the listener while the event loop is late: there may be more connections to accept than one pass
     * takes, and closing the listener would reset them.
     */
    private void stopListeningOnceDue(long nowMicros, long delayMicros) {
        if (nowMicros >= deadlines.listenUntilMicros()
                && !frontend.isListenerShared()
                && frontend.isBacklogEmpty()
                && delayMicros <= CHECK_INTERVAL_MICROS) {
            frontend.stopListening();
        }
    }

    private void closeConnectionsOnceDue(long nowMicros) {
        if (nowMicros < deadlines.lastRequestMicros()) {
            return;
        }
        if (nowMicros >= deadlines.lastResponseMicros()) {
            frontend.closeAllConnections();
        } else {
            frontend.closeIdleConnections();
        }
    }

    private void endExchangesOnceDue(long nowMicros) {
        if (nowMicros >= deadlines.lastResponseMicros()) {
            core.endAll();
        }
    }

    private void completeOnceIdle(long nowMicros) {
        boolean idle = core.idle() && frontend.openConnections() == 0;
        if (nowMicros >= deadlines.listenUntilMicros() && idle && completed.getCount() > 0) {
            core.reportBodies();
            completed.countDown();
        }
    }

    /** Waits until every response is sent and all clients are disconnected; must not be called on the event loop. */
    void awaitCompletion() {
        try {
            completed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
