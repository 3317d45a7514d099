package sedgeyoke.proxy.common;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Lets checks for silent peers wait until the event loop has read what their sockets hold. A loop that was held up sees
 * a timeout pass before it reads the bytes that refute it; judged by the time alone, a peer that has sent something
 * counts as silent.
 *
 * <p>The loop works in passes: it selects the channels that can be read, reads them, and runs its tasks. A task that is
 * scheduled by another one runs in a later pass, and so after everything has been read that had arrived when it was
 * scheduled, from channels that read at all.
 */
public final class ReadBarrier {
    private final EventLoop loop;
    private final LongSupplier clockMicros;

    /** A barrier for the channels of one event loop; the clock gives microseconds. */
    public ReadBarrier(EventLoop loop, LongSupplier clockMicros) {
        this.loop = loop;
        this.clockMicros = clockMicros;
    }

    /**
     * Runs a check in a later pass of the event loop, with the time until which everything that arrived has been read.
     * Silence up to that time is certain; up to the present it is not. Event loop only.
     */
    public void afterPendingReads(LongConsumer check) {
        // From a task, as what is scheduled while channels are being read still runs in the same pass.
        loop.execute(() -> {
            long readUntilMicros = clockMicros.getAsLong();
            loop.schedule(() -> check.accept(readUntilMicros), 0, TimeUnit.MICROSECONDS);
        });
    }

    /** Runs a check once a time is over and all has been read that arrived until then. Event loop only. */
    public Timer schedule(Runnable check, long delayMicros) {
        Timer timer = new Timer(check);
        timer.start(delayMicros);
        return timer;
    }

    /** A check that waits for its time, or for what is still to be read. Event loop only. */
    public final class Timer {
        private final Runnable check;
        private Future<?> due;
        private boolean cancelled;

        private Timer(Runnable check) {
            this.check = check;
        }

        private void start(long delayMicros) {
            due = loop.schedule(() -> afterPendingReads(readUntilMicros -> run()), delayMicros, TimeUnit.MICROSECONDS);
        }

        private void run() {
            if (!cancelled) {
                check.run();
            }
        }

        /** The check will not run. */
        public void cancel() {
            cancelled = true;
            due.cancel(false);
        }
    }

    /** A check that runs once after its {@link Check#request}, however often it is requested until then. */
    public Check check(LongConsumer action) {
        return new Check(action);
    }

    /** A check for silent peers, which runs as {@link #afterPendingReads} says. Event loop only. */
    public final class Check {
        private final LongConsumer action;
        private boolean pending;

        private Check(LongConsumer action) {
            this.action = action;
        }

        /** Runs the check soon; no effect if it is about to run. */
        public void request() {
            if (!pending) {
                pending = true;
                afterPendingReads(this::run);
            }
        }

        private void run(long readUntilMicros) {
            pending = false;
            action.accept(readUntilMicros);
        }
    }
}
