package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Holds requests back until discovery has confirmed the endpoint list that a new process starts with. That list may be
 * older than the process, and drains count from its first moment. If discovery stays silent, requests are released
 * after a limit and served with that list: it is the best there is. Event loop only.
 */
final class ConfirmedList {
    /** From the first call to discovery on; the call begins well before clients can connect. */
    static final long MAX_WAIT_MILLIS = 1_000;

    private final EventLoop loop;
    private final RateLimitedLog log;
    private final List<Runnable> held = new ArrayList<>();
    private boolean released;

    ConfirmedList(EventLoop loop, RateLimitedLog log) {
        this.loop = loop;
        this.log = log;
    }

    /** Begins to wait. */
    void start() {
        loop.schedule(this::giveUp, MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs it once the list is confirmed, or now. Its owner checks whether it is still wanted then. */
    void whenConfirmed(Runnable request) {
        if (released) {
            request.run();
        } else {
            held.add(request);
        }
    }

    /** Whether requests are forwarded. */
    boolean released() {
        return released;
    }

    /** Discovery has answered. */
    void confirmed() {
        if (!released) {
            release("endpoints: confirmed by discovery");
        }
    }

    private void giveUp() {
        if (!released) {
            release("endpoints: discovery has not answered for " + MAX_WAIT_MILLIS
                    + " ms, the list of the configuration is used");
        }
    }

    private void release(String reason) {
        released = true;
        log.state(reason + "; " + held.size() + " requests were held");
        held.forEach(Runnable::run);
        held.clear();
    }
}
