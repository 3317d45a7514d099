package sedgeyoke.proxy.exchange;

/** Sends attempts to upstreams. Event loop only. */
public interface AttemptStarter {
    /**
     * Begins to send an attempt, on an idle connection or on a new one. Its end is reported to {@link
     * AttemptListener#ended}, possibly before this method returns.
     */
    void start(Attempt attempt);

    /** Whether a new connection to this upstream reaches the process that the endpoint list means. */
    boolean knowsProcess(String upstream);
}
