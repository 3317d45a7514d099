package sedgeyoke.consensus;

/**
 * A document with its place in the history of the tier.
 *
 * @param number only grows; 0 is what holds before anybody has set anything
 * @param parent the version it was made from
 * @param author who set it
 * @param reason why
 * @param createdAtMillis when, by the wall clock of the keeper that took it; for people, nothing is decided by it
 * @param content what it says
 */
public record ConfigVersion(
        long number, long parent, String author, String reason, long createdAtMillis, ConfigDocument content) {
    /** What holds before anybody has set anything. */
    public static final ConfigVersion NONE = new ConfigVersion(0, 0, "", "", 0, ConfigDocument.EMPTY);
}
