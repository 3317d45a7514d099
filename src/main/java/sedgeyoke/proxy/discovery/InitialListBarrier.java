package sedgeyoke.proxy.discovery;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * Queues the requests that arrive before discovery has confirmed the configured endpoint list. That list may be older
 * than the process, and upstreams that are already draining must not get any requests. If discovery does not answer
 * within a time limit, the requests are released and forwarded by the configured list. Event loop only.
 */
public final class InitialListBarrier {
    /** Counted from the first call to discovery, which is made well before clients can connect. */
    static final long MAX_WAIT_MICROS = 1_000_000;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final List<Runnable> queued = new ArrayList<>();
    private boolean released;

    /** Creates a barrier whose time limit has not started. */
    public InitialListBarrier(EventLoop loop, RateLimitedLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Starts the time limit. */
    public void start() {
        loop.schedule(this::timedOut, MAX_WAIT_MICROS, TimeUnit.MICROSECONDS);
    }

    /**
     * Forwards a request once requests are released: now, or when discovery has answered or the time limit has passed.
     * By then the request may have ended, which {@code forwarding} has to check.
     */
    public void whenReleased(Runnable forwarding) {
        if (released) {
            forwarding.run();
        } else {
            queued.add(forwarding);
        }
    }

    /** Whether requests are forwarded rather than queued. */
    public boolean isReleased() {
        return released;
    }

    /** Releases the queued requests, as discovery has answered. */
    public void listConfirmed() {
        if (!released) {
            release("endpoints: confirmed by discovery");
        }
    }

    private void timedOut() {
        if (!released) {
            release("endpoints: no response from discovery within " + MAX_WAIT_MICROS / TimeUnits.MICROS_PER_MILLI
                    + " ms, using the configured list");
        }
    }

    private void release(String reason) {
        released = true;
        log.state(reason + "; " + queued.size() + " queued requests released");
        queued.forEach(Runnable::run);
        queued.clear();
    }
}
