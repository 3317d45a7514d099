package sedgeyoke.model;

import java.util.SplittableRandom;

/**
 * One class of requests.
 *
 * @param name as in {@code X-Call-Class}
 * @param repeat whether it may run again, in the settings' words: {@code free}, {@code guarded} or {@code single_shot}
 * @param share its part of all requests
 * @param aimMs an answer within that time is worth something
 * @param giveUpMs a client waits that long in all
 * @param worth what one is worth
 * @param workMs mean work on a core of speed 1
 * @param spread how work differs from one request to the next
 */
public record RequestClassModel(
        String name, String repeat, double share, int aimMs, int giveUpMs, double worth, double workMs, Spread spread) {
    private static final double LEAST = 0.4;
    private static final double MOST = 4;

    /** A class whose work is like the platform's. */
    public RequestClassModel(
            String name, String repeat, double share, int aimMs, int giveUpMs, double worth, double workMs) {
        this(name, repeat, share, aimMs, giveUpMs, worth, workMs, Spread.USUAL);
    }

    /** Distributions of work about its mean. */
    public enum Spread {
        /** 0.4 of the mean at least, the rest exponential, cut at four times the mean. */
        USUAL,
        /** Exponential, as queueing theory likes it. */
        EXPONENTIAL,
        /** Always the mean. */
        CONSTANT,
        /** One in ten takes five and a half times the mean, the others half of it. */
        TWO_KINDS
    }

    /** The work of one request, in seconds. */
    double draw(SplittableRandom random) {
        double mean = workMs / 1e3;
        return switch (spread) {
            case USUAL -> Math.min(MOST * mean, LEAST * mean - (1 - LEAST) * mean * Math.log(1 - random.nextDouble()));
            case EXPONENTIAL -> -mean * Math.log(1 - random.nextDouble());
            case CONSTANT -> mean;
            case TWO_KINDS -> mean * (random.nextInt(10) == 0 ? 5.5 : 0.5);
        };
    }

    /** Whether order nodes drop repeats by their key. */
    public boolean keyed() {
        return repeat.equals("guarded");
    }
}
