package sedgeyoke.simulation;

import sedgeyoke.model.UpstreamModel;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;

/** Creates the load reports of upstreams; values that a kind of answer does not report are NaN. */
final class LoadReports {
    private LoadReports() {}

    /** The report in the answer to a request. */
    static LoadReport of(UpstreamModel.Answer answer) {
        return new LoadReport(
                answer.utilisation(), Double.NaN, answer.waiting(), answer.serviceMs() * 1_000, Double.NaN, Double.NaN);
    }

    /** The report in the answer to a health check. */
    static LoadReport ofHealthCheck(UpstreamModel upstream) {
        return new LoadReport(
                upstream.utilisation(),
                upstream.inFlight(),
                Double.NaN,
                upstream.serviceMs() * 1_000,
                Double.NaN,
                Double.NaN);
    }
}
