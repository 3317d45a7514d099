package sedgeyoke.model;

/**
 * Rule 1: each request gets one answer, by its deadline, from the node that executed it; and nothing more is done for a
 * client that no longer waits. Limits are extended by the time in which the checker itself stood still.
 */
final class AnswerRule {
    /** The platform's tolerance for an answer after its deadline, and that for sockets. */
    private static final long ANSWER_TOLERANCE_MICROS = 20_000 + InvariantChecker.SOCKET_TOLERANCE_MICROS;
    /** An attempt may still reach its node for this long after its client has disconnected. */
    private static final long DISCONNECT_TOLERANCE_MICROS = 100_000;
    /** An attempt may announce this much more time to its node than is left to its client. */
    private static final long BUDGET_TOLERANCE_MICROS = 150_000;

    private final ViolationLog violations;
    private final StallDetector stalls;
    private final MarginHistogram answerMargins = new MarginHistogram();
    private final MarginHistogram disconnectMargins = new MarginHistogram();
    private final MarginHistogram budgetMargins = new MarginHistogram();

    AnswerRule(ViolationLog violations, StallDetector stalls) {
        this.violations = violations;
        this.stalls = stalls;
    }

    /** A client has a complete response; returns whether it is the first one. */
    boolean answered(ObservedRequest request, InvariantChecker.Answer answer, long nowMicros) {
        if (request.answer() != null) {
            violations.add(new Violation.AnsweredTwice(request.id()));
            return false;
        }
        request.end(answer);
        long allowedMicros = request.deadlineMicros() + ANSWER_TOLERANCE_MICROS - request.sentMicros();
        answerMargins.add((nowMicros - request.sentMicros()) / (double) Math.max(1, allowedMicros));
        if (isTooLate(request, nowMicros)) {
            long lateMillis = (nowMicros - request.deadlineMicros()) / 1_000;
            violations.add(new Violation.AnsweredLate(request.id(), request.balancer(), lateMillis));
        }
        return true;
    }

    /** A successful answer has a body that no node makes for this request. */
    void wrongBody(ObservedRequest request) {
        violations.add(new Violation.WrongBody(request.id()));
    }

    /** A balancer that was not killed closed the connection without an answer. */
    void answerLost(ObservedRequest request, long nowMicros) {
        long afterMillis = (nowMicros - request.sentMicros()) / 1_000;
        violations.add(new Violation.AnswerLost(request.id(), request.balancer(), afterMillis));
    }

    /** An attempt has reached a node although its client may no longer wait. */
    void attemptArrived(ObservedRequest request, String node, long nowMicros) {
        if (request.hasResponse() && isTooLate(request, nowMicros)) {
            violations.add(new Violation.SentAfterAnswer(request.id(), node));
        }
        if (request.clientDisconnected()) {
            checkDisconnected(request, node, nowMicros);
        }
    }

    private void checkDisconnected(ObservedRequest request, String node, long nowMicros) {
        long afterMicros = nowMicros - request.disconnectedMicros();
        disconnectMargins.add(afterMicros / (double) DISCONNECT_TOLERANCE_MICROS);
        if (afterMicros > DISCONNECT_TOLERANCE_MICROS + stalls.stalledSince(request.disconnectedMicros())) {
            violations.add(
                    new Violation.SentAfterDisconnect(request.id(), node, request.balancer(), afterMicros / 1_000));
        }
    }

    /** An attempt announces to its node how long the balancer will wait. */
    void budgetAnnounced(ObservedRequest request, String node, long budgetMillis, long nowMicros) {
        long excessMicros = nowMicros + budgetMillis * 1_000 - request.deadlineMicros();
        budgetMargins.add(excessMicros / (double) BUDGET_TOLERANCE_MICROS);
        if (excessMicros > BUDGET_TOLERANCE_MICROS + stalls.stalledSince(request.sentMicros())) {
            violations.add(new Violation.ExcessiveBudget(request.id(), request.balancer(), node, excessMicros / 1_000));
        }
    }

    private boolean isTooLate(ObservedRequest request, long nowMicros) {
        return nowMicros
                > request.deadlineMicros() + ANSWER_TOLERANCE_MICROS + stalls.stalledSince(request.sentMicros());
    }

    /** Time to an answer as a share of the time allowed. */
    MarginHistogram answerMargins() {
        return answerMargins;
    }

    /** Time from a disconnect to an attempt as a share of the time allowed. */
    MarginHistogram disconnectMargins() {
        return disconnectMargins;
    }

    /** Time announced beyond what is left to the client as a share of the excess allowed. */
    MarginHistogram budgetMargins() {
        return budgetMargins;
    }
}
