package sedgeyoke.proxy.exchange;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * Maps the ways in which an attempt can end to outcomes. They differ in whether the upstream may have executed the
 * request: it cannot have as long as the last byte was not handed to the kernel.
 */
public final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /** The outcome that the head of a response indicates. */
    public static Outcome ofResponse(HttpResponse head) {
        int status = head.status().code();
        if (status == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean rejected = "1".equals(head.headers().get("X-Rejected"));
        return rejected && (status == 503 || status == 504) ? Outcome.REJECTED : Outcome.ERROR;
    }

    /** The outcome if the connection broke or was closed before a complete response. */
    public static Outcome afterConnectionLoss(Attempt attempt) {
        return attempt.written ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /** The outcome if the attempt timed out or the deadline of its exchange is near. */
    static Outcome afterTimeout(Attempt attempt) {
        return attempt.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED;
    }

    /** The outcome if the balancer is about to exit. */
    static Outcome afterShutdown(Attempt attempt) {
        return attempt.written ? Outcome.CANCELLED : Outcome.CONNECT_FAILED;
    }

    /** The outcome if the client aborted its request body. */
    static Outcome afterClientAbort(Attempt attempt) {
        return attempt.written ? Outcome.CANCELLED : Outcome.NOT_SENT;
    }
}
