package sedgeyoke.proxy.config;

/** A configuration that the balancer cannot run with. The message is for operators. */
public final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1L;

    private final String field;

    /** The file as a whole cannot be used. */
    InvalidConfigException(String message) {
        this("", message);
    }

    /** One field of it, in dotted form, cannot be used. */
    InvalidConfigException(String field, String message) {
        super(message);
        this.field = field;
    }

    /** The field in dotted form; empty where the file as a whole is meant or the field is not known. */
    public String field() {
        return field;
    }
}
