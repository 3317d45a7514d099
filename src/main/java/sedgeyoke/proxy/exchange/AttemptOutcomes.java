package sedgeyoke.proxy.exchange;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;

/**
 * Classifies how an attempt ended. The distinction that matters is whether the request can have been executed: it
 * cannot as long as its last byte was not handed to the kernel.
 */
public final class AttemptOutcomes {
    private AttemptOutcomes() {}

    /** The outcome that the head of a response stands for. */
    public static Outcome ofResponse(HttpResponse head) {
        int status = head.status().code();
        if (status == HttpResponseStatus.OK.code()) {
            return Outcome.OK;
        }
        boolean rejected = "1".equals(head.headers().get("X-Rejected"));
        return rejected && (status == 503 || status == 504) ? Outcome.REJECTED : Outcome.ERROR;
    }

    /** The connection broke or was closed before a complete response. */
    public static Outcome afterConnectionLoss(Attempt attempt) {
        return attempt.written ? Outcome.RESET : Outcome.CONNECT_FAILED;
    }

    /** The attempt or its exchange ran out of time. */
    static Outcome afterTimeout(Attempt attempt) {
        return attempt.written ? Outcome.TIMEOUT : Outcome.CONNECT_FAILED;
    }

    /** The balancer is about to exit. */
    static Outcome afterShutdown(Attempt attempt) {
        return attempt.written ? Outcome.CANCELLED : Outcome.CONNECT_FAILED;
    }

    /** The client stopped in the middle of its request body. */
    static Outcome afterClientAbort(Attempt attempt) {
        return attempt.written ? Outcome.CANCELLED : Outcome.NOT_SENT;
    }
}
