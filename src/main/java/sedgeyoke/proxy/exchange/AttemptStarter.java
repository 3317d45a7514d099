package sedgeyoke.proxy.exchange;

/** Carries attempts to upstreams. Event loop only. */
public interface AttemptStarter {
    /**
     * Begins to send an attempt: on a connection that is idle or on a new one. The attempt ends as {@link
     * AttemptListener#ended} says, perhaps before this method returns.
     */
    void start(Attempt attempt);
}
