package sedgeyoke.proxy.exchange;

/** Why the balancer stops an attempt that has not ended by itself. */
enum StopReason {
    /** The time of the request is over. */
    DEADLINE("deadline of the request"),
    /** The time of the request and half a second more are over, and its response of unknown length seems short. */
    GRACE_PERIOD("deadline of the request and grace period of a response of unknown length"),
    /** The timeout that the policy has set for this attempt is over. */
    ATTEMPT_TIMEOUT("timeout of the attempt"),
    /** The policy needs the attempt no longer. */
    POLICY_CANCELLED("cancelled by the policy"),
    /** The client will not complete the body of its request. */
    CLIENT_ABORT("request body aborted"),
    /** The process is about to be killed. */
    SHUTDOWN("end of the process");

    private final String label;

    StopReason(String label) {
        this.label = label;
    }

    /** The name of the reason in the log. */
    String label() {
        return label;
    }
}
