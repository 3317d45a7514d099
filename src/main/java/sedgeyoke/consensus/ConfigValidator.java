package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import sedgeyoke.consensus.ConfigField.Kind;
import sedgeyoke.consensus.ConfigField.WithoutLease;

/** Validates a config document against the schema and against the version that it is to replace. */
public final class ConfigValidator {
    private static final int MAX_NAME_LENGTH = 128;
    private static final int MAX_NOTE_LENGTH = 256;
    private static final int MAX_PRINTED_LENGTH = 64;

    private final List<String> violations = new ArrayList<>();

    private ConfigValidator() {}

    /** All violations of a document that is to replace {@code active}; each starts with the key that it concerns. */
    public static List<String> violations(ConfigDocument active, ConfigDocument next) {
        ConfigValidator validator = new ConfigValidator();
        next.numbers().forEach(validator::checkNumber);
        next.tables().forEach(validator::checkTable);
        next.names().forEach(validator::checkNames);
        validator.checkFloors(active, next);
        return validator.violations;
    }

    private void checkNumber(String key, double value) {
        ConfigField field = fieldOfKind(key, Kind.NUMBER);
        if (field != null) {
            checkRange(key, field, value);
        }
    }

    private void checkTable(String key, Map<String, Double> rows) {
        ConfigField field = fieldOfKind(key, Kind.TABLE);
        if (field == null) {
            return;
        }
        checkSize(key, rows.size(), ConfigSchema.MAX_NAMES);
        rows.forEach((row, value) -> {
            checkName(key, row);
            checkRange(rowKey(key, row), field, value);
        });
    }

    private void checkNames(String key, Map<String, String> notes) {
        ConfigField field = fieldOfKind(key, Kind.NAMES);
        if (field == null) {
            return;
        }
        checkSize(key, notes.size(), (int) field.max());
        notes.forEach((name, note) -> {
            checkName(key, name);
            if (note.length() > MAX_NOTE_LENGTH) {
                violations.add(rowKey(key, name) + ": a note of over " + MAX_NOTE_LENGTH + " characters");
            }
        });
    }

    private void checkFloors(ConfigDocument active, ConfigDocument next) {
        for (ConfigField field : ConfigSchema.FIELDS) {
            if (field.withoutLease() == WithoutLease.IS_FLOOR
                    && !field.isLoosening(active.number(field), next.number(field))) {
                violations.add(field.name() + ": " + active.number(field) + " may only be loosened, not made "
                        + next.number(field) + ": a balancer without a lease acts on the old one");
            }
        }
    }

    /** The field with this key; if there is none of that kind, records a violation and returns null. */
    private ConfigField fieldOfKind(String key, Kind kind) {
        ConfigField field = ConfigSchema.field(key);
        if (field == null) {
            violations.add(printable(key) + ": no such key");
            return null;
        }
        if (field.kind() != kind) {
            violations.add(key + ": holds " + field.unit() + ", not this");
            return null;
        }
        return field;
    }

    private void checkRange(String key, ConfigField field, double value) {
        boolean inRange = value >= field.min() && value <= field.max(); // false for NaN
        if (!inRange) {
            violations.add(
                    key + ": " + value + " is not " + field.min() + " to " + field.max() + " (" + field.unit() + ")");
        }
    }

    private void checkSize(String key, int size, int maxSize) {
        if (size > maxSize) {
            violations.add(key + ": " + size + " entries, " + maxSize + " at most");
        }
    }

    private void checkName(String key, String name) {
        if (name.isBlank() || name.length() > MAX_NAME_LENGTH) {
            violations.add(rowKey(key, name) + ": a name has 1 to " + MAX_NAME_LENGTH + " characters");
        }
    }

    private static String rowKey(String key, String row) {
        return key + "." + printable(row);
    }

    private static String printable(String text) {
        return text.substring(0, Math.min(MAX_PRINTED_LENGTH, text.length())).replaceAll("[^ -~]", "?");
    }
}
