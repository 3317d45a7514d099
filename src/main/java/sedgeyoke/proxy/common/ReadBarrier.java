package sedgeyoke.proxy.common;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

/**
 * Delays checks for silent peers until the event loop has read the pending input of their sockets. On an event loop
 * that was blocked, a timeout passes before the bytes that arrived in time are read; judged by the time alone, a peer
 * that has sent something would count as silent.
 *
 * <p>The event loop works in passes: it selects the channels that are readable, reads them, and runs its tasks. A task
 * that another task schedules runs in a later pass. Thus it runs after everything that had arrived when it was
 * scheduled has been read, from all channels whose reading is not paused.
 */
public final class ReadBarrier {
    private final EventLoop loop;
    private final LongSupplier clockMicros;

    /** Creates a barrier for the channels of one event loop; the clock returns microseconds. */
    public ReadBarrier(EventLoop loop, LongSupplier clockMicros) {
        this.loop = loop;
        this.clockMicros = clockMicros;
    }

    /**
     * Runs a check in a later pass of the event loop. The check gets the time up to which all input that arrived has
     * been read: a peer's silence is certain only up to that time, not up to the present. Event loop only.
     */
    public void afterPendingReads(LongConsumer check) {
        // Schedule from a task: what is scheduled while channels are being read still runs in the same pass.
        loop.execute(() -> {
            long readUntilMicros = clockMicros.getAsLong();
            loop.schedule(() -> check.accept(readUntilMicros), 0, TimeUnit.MICROSECONDS);
        });
    }

    /** Runs a check after a delay, once everything that arrived until then has been read. Event loop only. */
    public Timer schedule(Runnable check, long delayMicros) {
        Timer timer = new Timer(check);
        timer.start(delayMicros);
        return timer;
    }

    /** A check that waits for its delay to pass and for pending reads. Event loop only. */
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

        /** Prevents the check from running. */
        public void cancel() {
            cancelled = true;
            due.cancel(false);
        }
    }

    /** Creates a check that runs once after {@link Check#request}, however often it is requested until then. */
    public Check check(LongConsumer action) {
        return new Check(action);
    }

    /** A check for silent peers that runs after pending reads ({@link #afterPendingReads}). Event loop only. */
    public final class Check {
        private final LongConsumer action;
        private boolean pending;

        private Check(LongConsumer action) {
            this.action = action;
        }

        /** Runs the check soon; no effect if it is already pending. */
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
