package sedgeyoke.standin;

import java.util.SplittableRandom;

/** Client behaviour beyond plain requests: early disconnects, and planted mistakes that the checker must detect. */
final class ClientBehavior {
    /** The longest time after which a client that disconnects early does so. */
    private static final long MAX_DISCONNECT_DELAY_MILLIS = 300;

    private final SplittableRandom random;
    private double disconnectShare;
    private boolean sendsAfterDisconnect;
    private long excessBudgetMillis;

    ClientBehavior(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Sets the share of the requests whose client disconnects before the response. */
    void setDisconnectShare(double share) {
        disconnectShare = share;
    }

    /** Makes clients that disconnect early send their request only after the disconnect, as no real client does. */
    void sendAfterDisconnect() {
        sendsAfterDisconnect = true;
    }

    /** Makes clients announce a budget that is this much longer than their remaining time, as no real client does. */
    void setExcessBudgetMillis(long millis) {
        excessBudgetMillis = millis;
    }

    /** Draws whether the client of the next request disconnects early. */
    boolean drawDisconnect() {
        return random.nextDouble() < disconnectShare;
    }

    /** Draws the time after which a client that disconnects early does so. */
    long drawDisconnectDelayMillis() {
        return 1 + random.nextLong(MAX_DISCONNECT_DELAY_MILLIS);
    }

    boolean sendsAfterDisconnect() {
        return sendsAfterDisconnect;
    }

    /** The budget that a client announces when it has {@code budgetMillis} left. */
    long announcedBudgetMillis(long budgetMillis) {
        return budgetMillis + excessBudgetMillis;
    }
}
