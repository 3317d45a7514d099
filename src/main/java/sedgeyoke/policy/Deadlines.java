package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Decides when a request is out of time: early enough that its final response still reaches the client. */
final class Deadlines {
    /** Time between two checks of deadlines and of the queue. */
    static final long SWEEP_PERIOD_MICROS = 10_000;

    /** How many clock ticks late the host may call a timer. */
    private static final long MARGIN_TICKS = 3;

    private static final long MIN_TICK_MICROS = 1_000;

    private final long marginMicros;

    Deadlines(Settings settings) {
        long tickMicros = Math.max(settings.clockTickMicros(), MIN_TICK_MICROS);
        this.marginMicros = SWEEP_PERIOD_MICROS + MARGIN_TICKS * tickMicros;
    }

    /** How long before its deadline a request is out of time, as the next check may come that much later. */
    long marginMicros() {
        return marginMicros;
    }

    boolean isOutOfTime(RequestState request, long nowMicros) {
        return nowMicros >= request.deadlineMicros - marginMicros;
    }
}
