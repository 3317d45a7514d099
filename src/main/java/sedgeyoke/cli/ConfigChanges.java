package sedgeyoke.cli;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.consensus.ConfigDocument;

/**
 * Applies the changes of {@code settings set} to a config document: {@code KEY=NUMBER}, {@code KEY.NAME=NUMBER},
 * {@code KEY+=NAME}, {@code KEY-=NAME} and {@code KEY=}, which unsets a key.
 */
final class ConfigChanges {
    private final Map<String, Double> numbers;
    private final Map<String, Map<String, Double>> tables;
    private final Map<String, Map<String, String>> names;

    private ConfigChanges(ConfigDocument document) {
        this.numbers = new TreeMap<>(document.numbers());
        this.tables = new TreeMap<>(document.tables());
        this.names = new TreeMap<>(document.names());
    }

    /** A change does not have one of the forms that {@link ConfigChanges} accepts. */
    static final class InvalidChangeException extends Exception {
        private static final long serialVersionUID = 1L;

        private InvalidChangeException(String message) {
            super(message);
        }
    }

    /** Returns the document with all changes applied in order. */
    static ConfigDocument apply(ConfigDocument document, List<String> changes) throws InvalidChangeException {
        ConfigChanges changed = new ConfigChanges(document);
        for (String change : changes) {
            changed.apply(change);
        }
        return new ConfigDocument(changed.numbers, changed.tables, changed.names);
    }

    private void apply(String change) throws InvalidChangeException {
        int equals = change.indexOf('=');
        if (equals < 1) {
            throw new InvalidChangeException("invalid change, expected KEY=VALUE, KEY+=NAME or KEY-=NAME: " + change);
        }
        char operator = change.charAt(equals - 1);
        String value = change.substring(equals + 1);
        switch (operator) {
            case '+' -> addName(change.substring(0, equals - 1), value);
            case '-' -> removeName(change.substring(0, equals - 1), value);
            default -> assign(change, change.substring(0, equals), value);
        }
    }

    private void assign(String change, String key, String value) throws InvalidChangeException {
        if (value.isEmpty()) {
            unset(key);
        } else if (key.contains(".")) {
            String[] tableAndName = key.split("\\.", 2);
            setInTable(tableAndName[0], tableAndName[1], number(change, value));
        } else {
            numbers.put(key, number(change, value));
        }
    }

    private void addName(String key, String name) {
        Map<String, String> set = new TreeMap<>(names.getOrDefault(key, Map.of()));
        set.put(name, "");
        names.put(key, set);
    }

    private void removeName(String key, String name) {
        Map<String, String> set = new TreeMap<>(names.getOrDefault(key, Map.of()));
        set.remove(name);
        names.put(key, set);
    }

    private void unset(String key) {
        numbers.remove(key);
        tables.remove(key);
        names.remove(key);
    }

    private void setInTable(String key, String name, double value) {
        Map<String, Double> table = new TreeMap<>(tables.getOrDefault(key, Map.of()));
        table.put(name, value);
        tables.put(key, table);
    }

    private static double number(String change, String value) throws InvalidChangeException {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidChangeException(change + ": the value is not a number");
        }
    }
}
