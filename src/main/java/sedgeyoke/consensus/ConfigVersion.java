package sedgeyoke.consensus;

/**
 * A version of the config.
 *
 * @param number increases by one with each version; 0 before the first write
 * @param parent the version that it replaces
 * @param author who wrote it
 * @param reason why it was written
 * @param createdAtMillis wall-clock time of the writer, for display only
 * @param content its document
 */
public record ConfigVersion(
        long number, long parent, String author, String reason, long createdAtMillis, ConfigDocument content) {
    /** The version before the first write. */
    public static final ConfigVersion NONE = new ConfigVersion(0, 0, "", "", 0, ConfigDocument.EMPTY);
}
