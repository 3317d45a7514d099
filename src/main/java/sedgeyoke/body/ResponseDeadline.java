package sedgeyoke.body;

/**
 * Decides whether a response that has begun ends with the time of its request. A short response must be complete by
 * then or, at the latest, half a second later; of a long one only the first bytes are timed, and it must not be cut off
 * while its upstream is still writing. A response that declares no length may be either, so the decision on it is made
 * as late as a short one allows, by the rate at which it has arrived.
 */
public final class ResponseDeadline {
    /** The longest response whose last byte must arrive within the time of its request (DAYS, "Size"). */
    private static final int MAX_TIMED_BYTES = 64 << 10;
    /** How long after the time of its request a response may end (STANDING, "The whole fleet"). */
    private static final long MAX_LATENESS_MICROS = 500_000;
    /** How long the process may be held up before the end of the response is written (STANDING). */
    private static final long MAX_HOLDUP_MICROS = 150_000;
    /** At this rate, a response takes more than a minute to become a long one. */
    private static final long MIN_LONG_BYTES_PER_SECOND = 1_000;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** The time from the deadline of a request to the final decision on its response, in microseconds. */
    public static final long GRACE_MICROS = MAX_LATENESS_MICROS - MAX_HOLDUP_MICROS;

    private ResponseDeadline() {}

    /** What happens to a response when the time of its request is over. */
    public enum Decision {
        /** It ends without its rest. */
        END,
        /** It goes on, as it is long. */
        CONTINUE,
        /** It may be long, which is decided after {@link #GRACE_MICROS}. */
        DECIDE_LATER
    }

    /** Decides at the deadline of the request. */
    public static Decision atDeadline(ResponseProgress progress) {
        if (isLong(progress)) {
            return Decision.CONTINUE;
        }
        return progress.isLengthDeclared() ? Decision.END : Decision.DECIDE_LATER;
    }

    /** Whether a response on which no decision was made before ends now, after {@link #GRACE_MICROS}. */
    public static boolean endsAfterGrace(ResponseProgress progress) {
        return !isLong(progress) && !progress.readingPaused() && !arrivesLikeLong(progress);
    }

    /** Whether the response is long, or is not known to be short. */
    public static boolean mayBeLong(ResponseProgress progress) {
        return isLong(progress) || !progress.isLengthDeclared();
    }

    private static boolean isLong(ResponseProgress progress) {
        return progress.knownBytes() > MAX_TIMED_BYTES;
    }

    /** The mean since the head counts: a pause that lasts at this moment says less than what came before it. */
    private static boolean arrivesLikeLong(ResponseProgress progress) {
        return (double) progress.receivedBytes() * MICROS_PER_SECOND
                >= (double) MIN_LONG_BYTES_PER_SECOND * progress.elapsedMicros();
    }
}
