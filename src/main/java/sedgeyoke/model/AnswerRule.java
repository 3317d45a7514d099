package sedgeyoke.model;

/**
 * Rule 1: each request gets exactly one answer, by its deadline, from the node that executed it, and no attempt is sent
 * for a client that no longer waits. Time limits are extended by the stalls of the checker's own thread.
 */
final class AnswerRule {
    /** How late an answer may be: the platform's 20 ms plus the tolerance for sockets and scheduling. */
    private static final long ANSWER_TOLERANCE_MICROS = 20_000 + InvariantChecker.SOCKET_TOLERANCE_MICROS;
    /** How long after a client's disconnect an attempt for its request may still reach a node. */
    private static final long DISCONNECT_TOLERANCE_MICROS = 100_000;
    /** How much the time budget that an attempt announces to its node may exceed the client's remaining time. */
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

    /** Records a complete response to a client; returns whether it is the first one for this request. */
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

    /** Records a successful answer whose body differs from what a node returns for this request. */
    void wrongBody(ObservedRequest request) {
        violations.add(new Violation.WrongBody(request.id()));
    }

    /** Records that a balancer that was not killed closed the client's connection without an answer. */
    void answerLost(ObservedRequest request, long nowMicros) {
        long afterMillis = (nowMicros - request.sentMicros()) / 1_000;
        violations.add(new Violation.AnswerLost(request.id(), request.balancer(), afterMillis));
    }

    /** Checks whether the client still waited when an attempt reached a node. */
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

    /** Checks the time budget that an attempt announces to its node against the client's remaining time. */
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

    /** Time from request to answer, as a share of the time allowed. */
    MarginHistogram answerMargins() {
        return answerMargins;
    }

    /** Time from a client's disconnect to the arrival of an attempt, as a share of the time allowed. */
    MarginHistogram disconnectMargins() {
        return disconnectMargins;
    }

    /** Announced time budget beyond the client's remaining time, as a share of the excess allowed. */
    MarginHistogram budgetMargins() {
        return budgetMargins;
    }
}
