package sedgeyoke.body;

import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;

/**
 * Decides how a request continues after an attempt, depending on how much of its body was forwarded. If the whole body
 * is still buffered, or none of it was forwarded, the load balancing policy decides. Once a part was forwarded and
 * removed from the buffer, no further attempt is possible and the client gets a response: a rejection tells it that a
 * retry is harmless, a failure does not.
 */
public final class PartialRequestPolicy {
    private PartialRequestPolicy() {}

    /** How much of a request's body was received, buffered and forwarded. */
    public enum BodyProgress {
        /** The whole body is buffered, so that it can be sent again. */
        FULLY_BUFFERED,
        /** The client is still sending, and nothing was forwarded. */
        BUFFERING,
        /** A part was forwarded and is no longer buffered; the last byte was not written. */
        PARTLY_FORWARDED,
        /** The whole body was forwarded and is no longer buffered. */
        FULLY_FORWARDED
    }

    /** How the request continues. */
    public enum NextStep {
        /** The load balancing policy decides between another attempt and a response. */
        POLICY_DECIDES,
        /** The request is rejected: a retry by the client is harmless. */
        REJECT,
        /** The request fails: a retry by the client may execute it twice. */
        FAIL,
        /** The request was served. */
        SERVED
    }

    /** Returns how a request of this effect and scope continues after an attempt with this outcome. */
    public static NextStep afterAttempt(Effect effect, Scope scope, BodyProgress body, Outcome outcome) {
        if (outcome == Outcome.OK) {
            return NextStep.SERVED;
        }
        if (body == BodyProgress.FULLY_BUFFERED || body == BodyProgress.BUFFERING) {
            return NextStep.POLICY_DECIDES;
        }
        // Whatever the outcome, an upstream does not execute a request before it has received the last byte.
        boolean neverRan = outcome.neverRan || body == BodyProgress.PARTLY_FORWARDED;
        return neverRan || effect.isRetryHarmless(scope) ? NextStep.REJECT : NextStep.FAIL;
    }
}
