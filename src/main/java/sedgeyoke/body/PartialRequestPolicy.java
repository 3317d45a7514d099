package sedgeyoke.body;

import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;

/**
 * What becomes of a request when an attempt of it ends, by how far its body got. While the body is whole here, or
 * nothing of it has gone, the decision module says what comes next. Once a part has gone on and is dropped here, no
 * further attempt can be made by anyone, and only the rules on refusals are left: PROTOCOL says when "trying again is
 * harmless".
 */
public final class PartialRequestPolicy {
    private PartialRequestPolicy() {}

    /** How far the body of a request got. */
    public enum Body {
        /** All of it is here. */
        WHOLE,
        /** The client is still sending, and nothing has gone on. */
        HELD,
        /** A part has gone on and is here no more; the last byte was not written. */
        PART_GONE,
        /** All of it has gone on; it is here no more. */
        ALL_GONE
    }

    /** What comes next. */
    public enum Next {
        /** The module decides: another attempt, or the final answer. */
        MODULE,
        /** Final: refused, trying again is harmless. */
        REFUSE,
        /** Final: failed, nothing promised. */
        FAIL,
        /** It is served. */
        SERVED
    }

    /** What comes next after the end of an attempt. */
    public static Next after(Effect effect, Scope scope, Body body, Outcome outcome) {
        if (outcome == Outcome.OK) {
            return Next.SERVED;
        }
        if (body == Body.WHOLE || body == Body.HELD) {
            return Next.MODULE;
        }
        // An upstream begins a request when its last byte has come: what lacks it never ran, however the attempt ended.
        boolean neverRan = outcome.neverRan || body == Body.PART_GONE;
        boolean harmless = effect == Effect.SAFE || effect == Effect.IDEMPOTENT_WITH_KEY && scope == Scope.ALL;
        return neverRan || harmless ? Next.REFUSE : Next.FAIL;
    }
}
