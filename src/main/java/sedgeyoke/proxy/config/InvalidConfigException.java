package sedgeyoke.proxy.config;

/** Thrown for a configuration that the balancer cannot run with. The message is meant for operators. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;

    /** The file as a whole cannot be used. */
    InvalidConfigException(String message) {
        this("", message);
    }

    /** One field, in dotted notation, cannot be used. */
    InvalidConfigException(String field, String message) {
        super(message);
        this.field = field;
    }

    /** The field in dotted notation; empty if the file as a whole is unusable or the field is not known. */
    public String field() {
        return field;
    }
}
