package sedgeyoke.policy;

/** One attempt of a request at one upstream. */
final class Attempt {
    final UpstreamState upstream;
    final long sentAt;
    boolean sentAtLimit;
    boolean outstanding = true;
    boolean mayHaveRun = true;
    boolean streaming;
    boolean transfer;

    Attempt(UpstreamState upstream, long sentAt) {
        this.upstream = upstream;
        this.sentAt = sentAt;
    }

    /** Adds this attempt to its upstream's counts (1) or takes it off (-1), as work or as a transfer. */
    void countInFlight(double cost, int sign) {
        upstream.transfers += transfer ? sign : 0;
        upstream.inFlight += transfer ? 0 : sign;
        upstream.workInFlight += transfer ? 0 : sign * cost;
        upstream.openStreams += streaming && !transfer ? sign : 0;
    }
}
