package sedgeyoke.settings;

import java.util.function.Function;

/**
 * One key of the operator's file.
 *
 * @param path its path in the form {@code section.key}
 * @param type the TOML type of its value
 * @param defaultValue the default value
 * @param reloadable whether a changed value takes effect on SIGHUP; others need a restart
 * @param validation returns what is invalid in a value of the right type, and what would be valid; null if nothing is
 */
record Key(String path, Type type, Object defaultValue, boolean reloadable, Function<Object, String> validation) {

    /** The types of values. */
    enum Type {
        BOOLEAN("true or false"),
        INTEGER("a whole number"),
        STRING("a text"),
        STRINGS("a list of texts");

        final String description;

        Type(String description) {
            this.description = description;
        }
    }

    static Key flag(String path) {
        return new Key(path, Type.BOOLEAN, false, false, value -> null);
    }

    static Key number(String path, long defaultValue, long min, long max) {
        return new Key(
                path,
                Type.INTEGER,
                defaultValue,
                false,
                value -> (long) value < min || (long) value > max
                        ? "must lie from " + min + " to " + max + ", not " + value
                        : null);
    }

    static Key text(String path) {
        return new Key(path, Type.STRING, "", false, value -> ((String) value).isBlank() ? "must not be empty" : null);
    }

    static Key address(String path) {
        return new Key(path, Type.STRING, "", false, value -> Addresses.problem((String) value));
    }

    static Key addresses(String path, int max) {
        return new Key(path, Type.STRINGS, java.util.List.of(), false, value -> Addresses.problem(value, max));
    }

    /** A key whose value is a list of {@code name=address} items. */
    static Key namedAddresses(String path, int max) {
        return new Key(path, Type.STRINGS, java.util.List.of(), false, value -> Addresses.namedProblem(value, max));
    }

    Key withReload() {
        return new Key(path, type, defaultValue, true, validation);
    }

    String section() {
        return path.substring(0, path.indexOf('.'));
    }
}
