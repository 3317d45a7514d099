package sedgeyoke.policy;

/** Chooses the traffic regime by the numbers of balancers and ready upstreams. */
final class TrafficRegimeSelector {
    private final int balancers;
    private int readyUpstreams;

    TrafficRegimeSelector(int balancers) {
        this.balancers = balancers;
    }

    void setReadyUpstreams(int count) {
        readyUpstreams = count;
    }

    TrafficRegime current() {
        return balancers > readyUpstreams ? TrafficRegime.SPARSE : TrafficRegime.DENSE;
    }
}
