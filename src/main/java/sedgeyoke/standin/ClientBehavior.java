package sedgeyoke.standin;

import java.util.SplittableRandom;

/** What clients do beyond sending requests: disconnecting early, and mistakes that the checker has to find. */
final class ClientBehavior {
    /** The longest that a client waits which disconnects before its answer. */
    private static final long MAX_DISCONNECT_DELAY_MILLIS = 300;

    private final SplittableRandom random;
    private double disconnectShare;
    private boolean sendsAfterDisconnect;
    private long excessBudgetMillis;

    ClientBehavior(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** Sets the share of the requests whose client disconnects before an answer. */
    void setDisconnectShare(double share) {
        disconnectShare = share;
    }

    /** Clients that disconnect early send their request only after that, which no real client does. */
    void sendAfterDisconnect() {
        sendsAfterDisconnect = true;
    }

    /** Clients announce this much more time than they have, which no real client does. */
    void setExcessBudgetMillis(long millis) {
        excessBudgetMillis = millis;
    }

    /** Draws whether the client of the next request disconnects early. */
    boolean drawDisconnect() {
        return random.nextDouble() < disconnectShare;
    }

    /** Draws how long a client waits that disconnects early. */
    long drawDisconnectDelayMillis() {
        return 1 + random.nextLong(MAX_DISCONNECT_DELAY_MILLIS);
    }

    boolean sendsAfterDisconnect() {
        return sendsAfterDisconnect;
    }

    /** What a client announces that has so much time left. */
    long announcedBudgetMillis(long budgetMillis) {
        return budgetMillis + excessBudgetMillis;
    }
}
