package sedgeyoke.model;

/** One violation of a rule, with what was observed. Times are whole milliseconds. */
public sealed interface Violation {
    /** The rule that was broken. */
    InvariantRule rule();

    /** What was observed, in words. */
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

    /** An answer came after the request's deadline. */
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

    /** The body of a successful answer is not the one that a node makes for this request. */
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

    /** A balancer that ran closed the client's connection without an answer. */
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

    /** An attempt reached a node although its request was answered, and its deadline had passed. */
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

    /** An attempt announced to its node more time than its client has. */
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

    /** A request that is not safe had a second effect. */
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

    /** Two requests with one idempotency key had an effect each. */
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

    /** A request was executed after its client got a rejection, which promises that it was not. */
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

    /** An attempt reached a node after the grace period of its draining. */
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

    /** A node failed of overload in its slow start. */
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
