package sedgeyoke.proxy.exchange;

import java.util.Locale;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.common.TimeUnits;

/**
 * Logs why single exchanges and attempts end without a complete response, with the request's id and the limit that
 * ended them. Event loop only; times are microseconds of the policy's clock and are logged in milliseconds.
 */
public final class ExchangeLog {
    private final RateLimitedLog log;
    private final PolicyClock clock;

    /** Creates a log that writes to {@code log}. */
    public ExchangeLog(RateLimitedLog log, PolicyClock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** Logs that the balancer stops an attempt. */
    void stopped(Attempt attempt, Outcome outcome, StopReason reason) {
        log.request(() -> describe(attempt) + " stopped as " + outcome + ": " + reason.label() + ", limit "
                + millis(attempt.deadlineMicros - attempt.startTimeMicros) + elapsed(attempt) + response(attempt));
    }

    /** Logs that an attempt has ended without a response that can be used. */
    void ended(Attempt attempt, Outcome outcome) {
        log.request(() -> describe(attempt) + " ended as " + outcome + elapsed(attempt) + response(attempt));
    }

    /** Logs an attempt that follows others of its exchange. */
    void retried(Attempt attempt) {
        Attempt last = attempt.exchange.attempts.get(attempt.number - 1);
        log.request(() -> describe(attempt) + " follows " + (last.ended ? "one" : "an open one") + " at "
                + last.upstream + ", " + timeLeft(attempt.exchange));
    }

    /** Logs a rejection. */
    void rejected(Exchange exchange, RejectionReason reason) {
        log.request(() -> describe(exchange) + " rejected with "
                + reason.status().code() + ": " + label(reason) + ", " + timeLeft(exchange));
    }

    /** Logs that the client is told that its request failed. */
    void failed(Exchange exchange) {
        log.request(() -> describe(exchange) + " failed with 502, " + timeLeft(exchange));
    }

    /** Logs that an exchange ends on which the policy has not decided. */
    void answeredWithoutPolicy(Exchange exchange, RejectionReason reason) {
        log.line("request answered without a decision of the policy: " + exchange.request.id() + ", " + label(reason));
    }

    /** Logs why the policy ends a request; its rejection or failure follows. */
    public void unserved(String request, String reason) {
        log.request(() -> "request " + request + " ended by the policy: " + reason);
    }

    private static String describe(Exchange exchange) {
        return "request " + exchange.request.id();
    }

    private static String describe(Attempt attempt) {
        return describe(attempt.exchange) + " attempt " + attempt.number + " at " + attempt.upstream;
    }

    private static String label(RejectionReason reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    private String elapsed(Attempt attempt) {
        return ", " + millis(clock.now() - attempt.startTimeMicros) + " after its start";
    }

    private String timeLeft(Exchange exchange) {
        if (exchange.deadlineTimer == null) {
            return "not accepted";
        }
        long leftMicros = exchange.deadlineMicros - clock.now();
        return millis(Math.abs(leftMicros)) + (leftMicros >= 0 ? " before" : " after") + " its deadline";
    }

    private static String response(Attempt attempt) {
        return attempt.isResponseStreaming()
                ? ", " + attempt.streamedResponse.progress().knownBytes() + " bytes of its response known"
                : "";
    }

    private static String millis(long micros) {
        return micros / TimeUnits.MICROS_PER_MILLI + " ms";
    }
}
