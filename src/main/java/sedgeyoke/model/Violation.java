package sedgeyoke.model;

/** One violation of a rule, with the observation that shows it. Times are whole milliseconds. */
public sealed interface Violation {
    /** The rule that was broken. */
    InvariantRule rule();

    /** A description of what was observed. */
    String details();

    /** The rule and the details, as drills print them. */
    default String message() {
        return "rule " + rule().number() + ": " + details();
    }

    /** A request got a second answer. */
    record AnsweredTwice(String requestId) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " answered twice";
        }
    }

    /** An answer came later after the request's deadline than the tolerance allows. */
    record AnsweredLate(String requestId, String balancer, long lateMillis) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " answered " + lateMillis + " ms too late by " + balancer;
        }
    }

    /** The body of a successful answer differs from what a node returns for this request. */
    record WrongBody(String requestId) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " served with a body that no order node made for it";
        }
    }

    /** A balancer that was not killed closed the client's connection without an answer. */
    record AnswerLost(String requestId, String balancer, long afterMillis) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " lost by " + balancer + " after " + afterMillis + " ms";
        }
    }

    /** An attempt reached a node after its request was answered and its deadline had passed. */
    record SentAfterAnswer(String requestId, String node) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " sent to " + node + " long after its answer";
        }
    }

    /** An attempt reached a node too long after its client had disconnected. */
    record SentAfterDisconnect(String requestId, String node, String balancer, long afterMillis) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " sent to " + node + " by " + balancer + " " + afterMillis
                    + " ms after its client had left";
        }
    }

    /** An attempt announced to its node a time budget beyond the client's remaining time. */
    record ExcessiveBudget(String requestId, String balancer, String node, long excessMillis) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.ANSWERS;
        }

        @Override
        public String details() {
            return requestId + " by " + balancer + " told " + node + " " + excessMillis
                    + " ms more than is left to its client";
        }
    }

    /** A node received a request that no client sent. */
    record UnknownRequest(String requestId, String node) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.EXECUTION;
        }

        @Override
        public String details() {
            return "an unknown request at " + node + ": " + requestId;
        }
    }

    /** A request that is not safe took effect a second time. */
    record RepeatedEffect(String requestId, String node) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.EXECUTION;
        }

        @Override
        public String details() {
            return requestId + " took effect again at " + node;
        }
    }

    /** Two requests with the same idempotency key both took effect. */
    record RepeatedKey(String requestId, String node, String idempotencyKey) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.EXECUTION;
        }

        @Override
        public String details() {
            return requestId + " took effect at " + node + " after another request with key " + idempotencyKey;
        }
    }

    /** A request took effect after its client got a rejection, which promises that it was not executed. */
    record ExecutedAfterRejection(String requestId, String node) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.EXECUTION;
        }

        @Override
        public String details() {
            return requestId + " rejected, and executed at " + node;
        }
    }

    /** An attempt reached a node that was not ready, after the grace period. */
    record SentWhileDraining(String requestId, String node, String balancer, long afterMillis) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.DRAINING;
        }

        @Override
        public String details() {
            return requestId + " sent to " + node + " " + afterMillis + " ms after " + balancer + " was notified";
        }
    }

    /** A node failed because it was overloaded during slow start. */
    record OverloadedInSlowStart(String node) implements Violation {
        @Override
        public InvariantRule rule() {
            return InvariantRule.SLOW_START;
        }

        @Override
        public String details() {
            return node + " was overloaded while it warmed up";
        }
    }
}
