package sedgeyoke.policy;

import sedgeyoke.policy.LoadBalancingPolicy.Settings;

/** Estimates the cost of a request: its hinted work, or without a hint the mean response time of its class. */
final class RequestCosts {
    /** Weight of one request in the mean cost. */
    private static final double SMOOTHING = 0.01;
    /** Least rate by which a class is weighted, so that the mean exists from the start. */
    private static final double MIN_CLASS_RATE = 0.01;

    private final ResponseTimes responseTimes;
    private final RequestRates rates;
    private final int classCount;
    private double meanCost;

    RequestCosts(Settings settings, ResponseTimes responseTimes, RequestRates rates) {
        this.classCount = settings.classes().size();
        this.responseTimes = responseTimes;
        this.rates = rates;
    }

    /** Sets the cost of a request that has arrived. */
    void assign(RequestState request) {
        if (request.hasWorkHint()) {
            request.cost = request.request.expectedWork();
            meanCost = MovingAverage.next(meanCost, request.cost, SMOOTHING);
        } else {
            request.cost = classCost(request.request.classIndex());
            meanCost = meanClassCost();
        }
    }

    /** The mean cost of a request; 0 before the first one. */
    double mean() {
        return meanCost;
    }

    /** The cost of a request in mean requests, but at least 1, as small hints understate the work. */
    double inMeanRequests(RequestState request) {
        return Math.max(request.cost / meanCost, 1);
    }

    private double classCost(int classIndex) {
        double ofClass = responseTimes.classMeanMicros(classIndex);
        double known = ofClass > 0 ? ofClass : responseTimes.meanMicros();
        return known > 0 ? known : 1;
    }

    /**
     * The mean cost of all classes, weighted by their rates; a moving average over requests would lag behind the rates.
     */
    private double meanClassCost() {
        double cost = 0;
        double rateSum = 0;
        for (int classIndex = 0; classIndex < classCount; classIndex++) {
            double rate = Math.max(rates.classPerSecond(classIndex), MIN_CLASS_RATE);
            cost += rate * classCost(classIndex);
            rateSum += rate;
        }
        return cost / rateSum;
    }
}
