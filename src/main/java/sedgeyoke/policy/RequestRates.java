package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Measures how many requests a second arrive at this balancer. */
final class RequestRates {
    private final RateEstimator firstRequests = new RateEstimator();
    private final List<RateEstimator> byClass;

    RequestRates(Settings settings) {
        this.byClass =
                settings.classes().stream().map(each -> new RateEstimator()).toList();
    }

    void count(Request request) {
        if (!request.retry()) {
            firstRequests.count();
        }
        byClass.get(request.classIndex()).count();
    }

    void endPeriod(long periodMicros) {
        firstRequests.endPeriod(periodMicros);
        byClass.forEach(rate -> rate.endPeriod(periodMicros));
    }

    /** Without retries of clients, which would raise the slow-start rate when upstreams are overloaded. */
    double firstRequestsPerSecond() {
        return firstRequests.perSecond();
    }

    /** Periods that were measured. */
    long periods() {
        return firstRequests.periods();
    }

    /** With retries of clients. */
    double classPerSecond(int classIndex) {
        return byClass.get(classIndex).perSecond();
    }

    /** The rate of each class, in the order of the settings. */
    List<Double> allClassesPerSecond() {
        return byClass.stream().map(RateEstimator::perSecond).toList();
    }
}
