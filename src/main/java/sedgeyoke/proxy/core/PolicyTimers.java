package sedgeyoke.proxy.core;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy.Timer;
import sedgeyoke.proxy.common.ReadBarrier;
import sedgeyoke.proxy.exchange.PolicyClock;
import sedgeyoke.proxy.exchange.PolicyEvents;

/**
 * Runs the policy's timers and notifies the policy when they fire. The policy uses them to end requests whose time is
 * over and to eject upstreams that hang, so a late timer fires only after pending input is read. Event loop only.
 */
final class PolicyTimers {
    /**
     * A timer that is at most this late fires without waiting for pending input, as the policy's timers are frequent.
     */
    private static final long MAX_DELAY_MICROS = 10_000;

    private final EventLoop loop;
    private final ReadBarrier reads;
    private final PolicyClock clock;
    private final PolicyEvents events;

    PolicyTimers(EventLoop loop, ReadBarrier reads, PolicyClock clock, PolicyEvents events) {
        this.loop = loop;
        this.reads = reads;
        this.clock = clock;
        this.events = events;
    }

    /** Sets a timer that fires once. */
    void set(Timer timer, long delayMicros) {
        long dueMicros = clock.now() + delayMicros;
        clock.timerSet(dueMicros);
        loop.schedule(() -> timerDue(timer, dueMicros), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void timerDue(Timer timer, long dueMicros) {
        if (clock.now() - dueMicros > MAX_DELAY_MICROS) {
            reads.afterPendingReads(readUntilMicros -> fire(timer, dueMicros));
        } else {
            fire(timer, dueMicros);
        }
    }

    private void fire(Timer timer, long dueMicros) {
        clock.timerFired(dueMicros);
        events.deliver(() -> events.policy().timerFired(clock.now(), timer));
    }
}
