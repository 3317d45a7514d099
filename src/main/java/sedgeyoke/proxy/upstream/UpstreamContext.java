package sedgeyoke.proxy.upstream;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.LongSupplier;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.ReadBarrier;
import sedgeyoke.proxy.exchange.AttemptListener;

/**
 * The dependencies and limits that all connections to upstreams share.
 *
 * @param loop the event loop, the one thread that runs everything
 * @param reads delays checks for silent upstreams until the input that has already arrived from them is read
 * @param clockMicros the policy's clock
 * @param settings the platform's settings
 * @param loadReportNames the names of the values in a load report
 * @param bodies limits on bodies
 * @param bodyBudget the memory budget that all streamed bodies share
 * @param listener receives the progress of attempts
 * @param log where misbehaving upstreams are reported
 */
public record UpstreamContext(
        EventLoop loop,
        ReadBarrier reads,
        LongSupplier clockMicros,
        Settings settings,
        List<String> loadReportNames,
        BodyLimits bodies,
        BodyBudget bodyBudget,
        AttemptListener listener,
        RateLimitedLog log) {
    /** How long a response may pause between two parts if bodies are not streamed. */
    static final long MAX_RESPONSE_STALL_MICROS = 100_000;

    /** The current time in microseconds of the policy's clock. */
    long nowMicros() {
        return clockMicros.getAsLong();
    }

    /** The length in bytes above which a response is an error. */
    long maxResponseBytes() {
        return bodies.streaming() ? bodies.maxBodyBytes() : UpstreamConnectionPool.MAX_RESPONSE_BYTES;
    }

    /** The length in bytes above which a response is streamed to the client or, without streaming, is an error. */
    int maxBufferedBytes() {
        return bodies.streaming() ? bodies.maxUnstreamedBytes() : UpstreamConnectionPool.MAX_RESPONSE_BYTES;
    }

    /** How long a response that has begun may pause; a longer pause is an error. */
    long maxResponseStallMicros() {
        return bodies.streaming() ? bodies.maxUpstreamStallMicros() : MAX_RESPONSE_STALL_MICROS;
    }
}
