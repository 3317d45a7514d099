package sedgeyoke.proxy.upstream;

import io.netty.channel.Channel;
import sedgeyoke.proxy.exchange.Attempt;

/**
 * Ends an attempt if a part of its response has arrived and the rest does not, on a connection that stays open. Time in
 * which we do not read, because the client takes the response too slowly, does not count. Event loop only.
 */
final class ResponseStallGuard {
    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private long lastReadMicros;
    /** The attempt whose response is guarded, or was last; null before the first. */
    private Attempt guarded;

    ResponseStallGuard(UpstreamConnection connection, UpstreamContext context) {
        this.connection = connection;
        this.context = context;
    }

    /** Records that something was read, or may be read again after a pause. */
    void recordRead() {
        lastReadMicros = context.nowMicros();
    }

    /** Guards the response of an attempt that has just begun; false if it is guarded already. */
    boolean guard(Attempt attempt, Channel channel) {
        if (guarded == attempt) {
            return false;
        }
        guarded = attempt;
        scheduleCheck(attempt, channel, context.maxResponseStallMicros());
        return true;
    }

    private void scheduleCheck(Attempt attempt, Channel channel, long delayMicros) {
        context.reads().schedule(() -> check(attempt, channel), delayMicros);
    }

    private void check(Attempt attempt, Channel channel) {
        if (!connection.carries(attempt)) {
            return;
        }
        long maxStallMicros = context.maxResponseStallMicros();
        boolean pausedByUs = !channel.config().isAutoRead();
        long leftMicros = pausedByUs ? maxStallMicros : lastReadMicros + maxStallMicros - context.nowMicros();
        if (leftMicros > 0) {
            scheduleCheck(attempt, channel, leftMicros);
        } else {
            connection.failInvalidResponse("it stalled");
        }
    }
}
