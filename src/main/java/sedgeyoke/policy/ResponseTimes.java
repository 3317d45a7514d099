package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Averages response times: over all upstreams, by upstream and by request class. */
final class ResponseTimes {
    /** Weight of one response in the average of its upstream. */
    private static final double UPSTREAM_SMOOTHING = 0.15;

    private final double[] classMeansMicros;
    private double meanMicros;

    ResponseTimes(Settings settings) {
        this.classMeansMicros = new double[settings.classes().size()];
    }

    /** The average response time of one upstream. */
    static final class State {
        private double meanMicros;
    }

    void record(UpstreamState upstream, int classIndex, double durationMicros) {
        State state = upstream.responseTimes;
        state.meanMicros = MovingAverage.next(state.meanMicros, durationMicros, UPSTREAM_SMOOTHING);
        meanMicros = MovingAverage.next(meanMicros, durationMicros, MovingAverage.FLEET_SMOOTHING);
        double classMean = classMeansMicros[classIndex];
        classMeansMicros[classIndex] = MovingAverage.next(classMean, durationMicros, MovingAverage.FLEET_SMOOTHING);
    }

    /** The average response time over all upstreams; 0 before the first response. */
    double meanMicros() {
        return meanMicros;
    }

    /** The average response time of this upstream; 0 before its first response. */
    double meanMicros(UpstreamState upstream) {
        return upstream.responseTimes.meanMicros;
    }

    /** The average response time of this class; 0 before its first response. */
    double classMeanMicros(int classIndex) {
        return classMeansMicros[classIndex];
    }
}
