package sedgeyoke.policy;

import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Measures the rate at which requests arrive at this balancer. */
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

    /** The rate without clients' retries, which would raise the slow-start quota when upstreams are overloaded. */
    double firstRequestsPerSecond() {
        return firstRequests.perSecond();
    }

    /** The number of measured periods. */
    long periods() {
        return firstRequests.periods();
    }

    /** The rate of one class, with clients' retries. */
    double classPerSecond(int classIndex) {
        return byClass.get(classIndex).perSecond();
    }

    /** The rate of each class, in the order of the settings. */
    List<Double> allClassesPerSecond() {
        return byClass.stream().map(RateEstimator::perSecond).toList();
    }
}
