package sedgeyoke.proxy.core;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy.Timer;
import sedgeyoke.proxy.exchange.PolicyClock;
import sedgeyoke.proxy.exchange.PolicyEvents;

/** The policy's timers, which are events of the policy when they fire. Event loop only. */
final class PolicyTimers {
    private final EventLoop loop;
    private final PolicyClock clock;
    private final PolicyEvents events;

    PolicyTimers(EventLoop loop, PolicyClock clock, PolicyEvents events) {
        this.loop = loop;
        this.clock = clock;
        this.events = events;
    }

    /** Sets a timer that fires once. */
    void set(Timer timer, long delayMicros) {
        long dueMicros = clock.now() + delayMicros;
        clock.timerSet(dueMicros);
        loop.schedule(() -> fire(timer, dueMicros), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void fire(Timer timer, long dueMicros) {
        clock.timerFired(dueMicros);
        events.deliver(() -> events.policy().timerFired(clock.now(), timer));
    }
}
