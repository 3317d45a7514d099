package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs a graceful shutdown. Clients go on using their connections, and another balancer may be down at the same time,
 * so requests are served for as long as a response is sure to be out before SIGKILL; then connections are closed, and
 * what is in flight is finished. Event loop only, but for {@link #awaitCompletion}.
 */
final class GracefulShutdown {
    private static final long CHECK_INTERVAL_MILLIS = 5;

    private final EventLoop loop;
    private final ProxyCore core;
    private final HttpFrontend frontend;
    private final ShutdownDeadlines deadlines;
    private final CountDownLatch completed;

    /** Several shutdowns of one balancer share {@code completed}, so that the second one ends with the first. */
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
        if (frontend.shared()) {
            frontend.handOver(); // connections in the backlog are accepted by the other process
        }
        check();
    }

    /** Checks the time at short intervals rather than with a timer for each deadline, as the deadlines may move. */
    private void check() {
        long now = core.now();
        boolean late = deadlines.checked(now) > TimeUnit.MILLISECONDS.toMicros(CHECK_INTERVAL_MILLIS);
        core.limitTimes(deadlines.lastResponse(), deadlines.lastRequest());
        // If the loop is late there may be more to accept than one pass takes, and closing would reset that.
        if (now >= deadlines.listenUntil() && !frontend.shared() && frontend.backlogEmpty() && !late) {
            frontend.stopListening();
        }
        if (now >= deadlines.lastRequest()) {
            frontend.close(now >= deadlines.lastResponse());
        }
        if (now >= deadlines.lastResponse()) {
            core.endAll();
        }
        if (now >= deadlines.listenUntil() && core.idle() && frontend.clients() == 0 && completed.getCount() > 0) {
            core.reportBodies();
            completed.countDown();
        }
        deadlines.scheduleCheck(core.now() + TimeUnit.MILLISECONDS.toMicros(CHECK_INTERVAL_MILLIS));
        loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Waits until every response is out and all clients are disconnected; not to be called on the event loop. */
    void awaitCompletion() {
        try {
            completed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
