package sedgeyoke.proxy.discovery;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * Queues the requests that arrive before discovery has confirmed the endpoint list of the configuration. That list may
 * be older than the process, and its draining upstreams must get nothing even in the first moment. If discovery does
 * not answer, the requests are released after a limit and forwarded by the configured list. Event loop only.
 */
public final class InitialListBarrier {
    /** From the first call to discovery on; the call begins well before clients can connect. */
    static final long MAX_WAIT_MICROS = 1_000_000;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final List<Runnable> queued = new ArrayList<>();
    private boolean released;

    /** Creates a barrier whose time limit has not begun. */
    public InitialListBarrier(EventLoop loop, RateLimitedLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Starts the time limit. */
    public void start() {
        loop.schedule(this::timedOut, MAX_WAIT_MICROS, TimeUnit.MICROSECONDS);
    }

    /**
     * Runs the forwarding of a request once requests are released: now, or when discovery has answered or the limit is
     * over. {@code forwarding} has to check then whether the request is still open.
     */
    public void whenReleased(Runnable forwarding) {
        if (released) {
            forwarding.run();
        } else {
            queued.add(forwarding);
        }
    }

    /** Whether requests are forwarded. */
    public boolean isReleased() {
        return released;
    }

    /** Discovery has answered: what is queued is released. */
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
