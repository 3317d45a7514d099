package sedgeyoke.body;

import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;

/**
 * Decides how a request continues when an attempt ends, by how much of its body was forwarded. While the body is
 * buffered completely, or nothing was forwarded, the load balancing policy decides. Once a part was forwarded and
 * dropped here, no further attempt is possible, and only the response remains: a rejection says that a retry by the
 * client is harmless, a failure does not.
 */
public final class PartialRequestPolicy {
    private PartialRequestPolicy() {}

    /** How much of the body of a request was received and forwarded. */
    public enum BodyProgress {
        /** Nothing is lost: all of it is buffered. */
        FULLY_BUFFERED,
        /** The client is still sending, and nothing was forwarded. */
        BUFFERING,
        /** A part was forwarded and is not buffered any more; the last byte was not written. */
        PARTLY_FORWARDED,
        /** All of it was forwarded, and it is not buffered any more. */
        FULLY_FORWARDED
    }

    /** How the request continues. */
    public enum NextStep {
        /** The load balancing policy decides: another attempt, or the response. */
        POLICY_DECIDES,
        /** It is rejected: a retry is harmless. */
        REJECT,
        /** It fails: a retry may run it twice. */
        FAIL,
        /** It is served. */
        SERVED
    }

    /** How a request of this effect and scope continues after the end of an attempt. */
    public static NextStep afterAttempt(Effect effect, Scope scope, BodyProgress body, Outcome outcome) {
        if (outcome == Outcome.OK) {
            return NextStep.SERVED;
        }
        if (body == BodyProgress.FULLY_BUFFERED || body == BodyProgress.BUFFERING) {
            return NextStep.POLICY_DECIDES;
        }
        // An upstream runs a request only once it has its last byte, however the attempt ended.
        boolean neverRan = outcome.neverRan || body == BodyProgress.PARTLY_FORWARDED;
        return neverRan || effect.isRetryHarmless(scope) ? NextStep.REJECT : NextStep.FAIL;
    }
}
