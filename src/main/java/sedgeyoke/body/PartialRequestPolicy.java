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

    /** How much of the body of a request was forwarded. */
    public enum Body {
        /** Nothing is lost: all of it is buffered. */
        COMPLETE,
        /** The client is still sending, and nothing was forwarded. */
        BUFFERING,
        /** A part was forwarded and is not buffered any more; the last byte was not written. */
        PARTLY_FORWARDED,
        /** All of it was forwarded, and it is not buffered any more. */
        FULLY_FORWARDED
    }

    /** How the request continues. */
    public enum Next {
        /** The policy decides: another attempt, or the response. */
        POLICY,
        /** It is rejected: a retry is harmless. */
        REJECT,
        /** It fails: a retry may run it twice. */
        FAIL,
        /** It is served. */
        SERVED
    }

    /** How the request continues after the end of an attempt. */
    public static Next after(Effect effect, Scope scope, Body body, Outcome outcome) {
        if (outcome == Outcome.OK) {
            return Next.SERVED;
        }
        if (body == Body.COMPLETE || body == Body.BUFFERING) {
            return Next.POLICY;
        }
        // An upstream runs a request only once it has its last byte, however the attempt ended.
        boolean neverRan = outcome.neverRan || body == Body.PARTLY_FORWARDED;
        boolean harmless = effect == Effect.SAFE || effect == Effect.IDEMPOTENT_WITH_KEY && scope == Scope.ALL;
        return neverRan || harmless ? Next.REJECT : Next.FAIL;
    }
}
