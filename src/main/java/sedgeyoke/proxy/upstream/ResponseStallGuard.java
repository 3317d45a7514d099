package sedgeyoke.proxy.upstream;

import io.netty.channel.Channel;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.exchange.Attempt;

/**
 * Ends an attempt whose response stalls: a part has arrived, and nothing follows although the connection is open. Time
 * in which reading is paused, because the client reads the response too slowly, does not count. Event loop only.
 */
final class ResponseStallGuard {
    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private long lastReadMicros;
    /** The attempt whose response is or was last guarded; null before the first one. */
    private Attempt guarded;

    ResponseStallGuard(UpstreamConnection connection, UpstreamContext context) {
        this.connection = connection;
        this.context = context;
    }

    /** Records that something was read, or that reading continues after a pause. */
    void recordRead() {
        lastReadMicros = context.nowMicros();
    }

    /** Begins to guard the response of an attempt; no effect if it is already guarded. */
    void guard(Attempt attempt, Channel channel) {
        if (guarded != attempt) {
            guarded = attempt;
            scheduleCheck(attempt, channel, context.maxResponseStallMicros());
        }
    }

    private void scheduleCheck(Attempt attempt, Channel channel, long delayMicros) {
        context.reads().schedule(() -> check(attempt, channel), delayMicros);
    }

    private void check(Attempt attempt, Channel channel) {
        if (!connection.carries(attempt)) {
            return;
        }
        long maxStallMicros = context.maxResponseStallMicros();
        boolean readingPaused = !channel.config().isAutoRead();
        long leftMicros = readingPaused ? maxStallMicros : lastReadMicros + maxStallMicros - context.nowMicros();
        if (leftMicros > 0) {
            scheduleCheck(attempt, channel, leftMicros);
        } else {
            connection.failInvalidResponse(
                    "the response stalled, limit " + maxStallMicros / TimeUnits.MICROS_PER_MILLI + " ms");
        }
    }
}
