package sedgeyoke.proxy.exchange;

/** The reason why an attempt that the policy chose was not written to its upstream. */
public enum WithheldReason {
    /** The client has its response or has disconnected, or the attempt was cancelled. */
    EXCHANGE_OVER("exchange_over"),
    /** The endpoint list does not contain the upstream. */
    NOT_LISTED("not_listed"),
    /** The upstream is draining, removed or cordoned. */
    UPSTREAM_NOT_READY("upstream_not_ready"),
    /** This machine had no port, file descriptor or buffer for a connection. */
    NO_LOCAL_SOCKET("no_local_socket"),
    /** The client's deadline is too close. */
    NO_TIME_LEFT("no_time_left"),
    /** Upstreams may have forgotten the idempotency key of an earlier attempt. */
    KEY_MAY_BE_FORGOTTEN("key_may_be_forgotten");

    private final String label;

    WithheldReason(String label) {
        this.label = label;
    }

    /** The name of the reason in logs and metrics. */
    public String label() {
        return label;
    }
}
