package sedgeyoke.policy;

import java.util.List;

/** Ejects hanging and failing upstreams for a while; the terms are those of Envoy's outlier detection. */
final class OutlierDetection {
    static final long BASE_EJECTION_MICROS = 1_000_000;
    static final double PANIC_THRESHOLD = 0.4; // least share of ready upstreams that ejections may leave
    private static final long MAX_EJECTION_MICROS = 8_000_000; // doubles with each ejection in a row
    private static final double HANG_FACTOR = 6; // typical response times without progress that are a hang

    private OutlierDetection() {}

    static void ejectHanging(List<UpstreamState> upstreams, double typicalTime, long leastTime, long now) {
        for (UpstreamState upstream : upstreams) {
            long quiet = now - upstream.lastProgressAt;
            double typical = Math.max(Math.max(upstream.meanResponseTime, typicalTime), (double) leastTime);
            double work = upstream.workInFlight * Math.max(1, upstream.leastServiceTime);
            boolean expectsProgress = !upstream.hanging && upstream.inFlight > upstream.openStreams;
            if (expectsProgress && quiet > HANG_FACTOR * typical + work) {
                upstream.hanging = true;
                eject(upstream, now);
            }
        }
    }

    static void eject(UpstreamState upstream, long now) {
        if (upstream.ejectedUntil <= now) {
            upstream.ejectedUntil = now + upstream.ejectionTime;
            upstream.ejectionTime = Math.min(MAX_EJECTION_MICROS, upstream.ejectionTime * 2);
        }
    }

    static void recordSuccess(UpstreamState upstream) {
        upstream.hanging = false;
        upstream.ejectedUntil = 0;
        upstream.ejectionTime = BASE_EJECTION_MICROS;
    }

    /** After its ejection has ended, an upstream gets one attempt at a time until one succeeds. */
    static boolean isEjected(UpstreamState upstream, long now) {
        boolean recovering = upstream.ejectionTime > BASE_EJECTION_MICROS;
        return upstream.ejectedUntil > now || recovering && upstream.inFlight > 0;
    }

    static boolean isPanic(List<UpstreamState> upstreams, long now) {
        int left = 0;
        for (UpstreamState upstream : upstreams) {
            left += isEjected(upstream, now) ? 0 : 1;
        }
        return left < PANIC_THRESHOLD * upstreams.size();
    }
}
