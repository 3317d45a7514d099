package sedgeyoke.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import sedgeyoke.settings.ConfigProblem;

/**
 * A TOML table of an experiment file, with typed and validated access to its keys. For an invalid value, the accessor
 * adds a problem to a list and returns the fallback. {@link #rejectUnreadKeys} reports the keys that were never read.
 */
final class CheckedTable {
    private final Path file;
    private final String name;
    /** The table as parsed from the file; null if the file does not have it. */
    private final TomlTable toml;

    private final int line;
    private final List<ConfigProblem> problems;
    private final Set<String> readKeys = new LinkedHashSet<>();
    /** Values that take precedence over those in the file, such as the values of a sweep. */
    private final Map<String, Double> overrides;
    /** Table in which keys are looked up that this one does not have, or null. */
    private final CheckedTable defaults;

    CheckedTable(Path file, String name, TomlTable toml, int line, List<ConfigProblem> problems) {
        this(file, name, toml, line, problems, Map.of(), null);
    }

    private CheckedTable(
            Path file,
            String name,
            TomlTable toml,
            int line,
            List<ConfigProblem> problems,
            Map<String, Double> overrides,
            CheckedTable defaults) {
        this.file = file;
        this.name = name;
        this.toml = toml;
        this.line = line;
        this.problems = problems;
        this.overrides = overrides;
        this.defaults = defaults;
    }

    /** Returns the name of an enum constant in experiment files. */
    static String nameOf(Enum<?> constant) {
        return constant.toString().toLowerCase(Locale.ROOT);
    }

    /** Returns a copy of this table in which some keys have other values. */
    CheckedTable withOverrides(Map<String, Double> values) {
        return new CheckedTable(file, name, toml, line, problems, values, defaults);
    }

    /** Returns a copy of this table that takes the keys it does not have from another table. */
    CheckedTable withDefaults(CheckedTable other) {
        return new CheckedTable(file, name, toml, line, problems, overrides, other);
    }

    /** The keys of the table; empty if the file does not have the table. */
    Set<String> keys() {
        return toml == null ? Set.of() : toml.keySet();
    }

    /** The content of the table as nested maps and lists. */
    Map<String, Object> toMap() {
        return toml == null ? Map.of() : toml.toMap();
    }

    boolean has(String key) {
        return toml != null && toml.contains(List.of(key));
    }

    /** Adds a problem with a key, located at the key's line. */
    void addProblem(String key, String message) {
        if (defaults != null && !has(key) && defaults.has(key)) {
            defaults.addProblem(key, message);
        } else {
            problems.add(new ConfigProblem(file.toString(), lineOf(key), qualified(key), message));
        }
    }

    /** Adds a problem for each key that was not read, which is therefore unknown. */
    void rejectUnreadKeys() {
        for (String key : keys()) {
            if (!readKeys.contains(key)) {
                addProblem(key, "is not known; known keys are " + String.join(", ", readKeys));
            }
        }
    }

    // ---- Values --------------------------------------------------------------------------------------

    /** Returns the value of a key, or null if it is absent. */
    private Object value(String key) {
        readKeys.add(key);
        Double override = overrides.get(key);
        if (override != null) {
            return override == Math.rint(override) ? (Object) override.longValue() : override;
        }
        if (has(key)) {
            return toml.get(List.of(key));
        }
        return defaults == null ? null : defaults.value(key);
    }

    double number(String key, double fallback, double min, double max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max)) {
            addProblem(key, "must be a number from " + min + " to " + max + ", not " + value);
            return fallback;
        }
        return number;
    }

    int integer(String key, int fallback, int min, int max) {
        return (int) wholeNumber(key, fallback, min, max);
    }

    long wholeNumber(String key, long fallback, long min, long max) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Long number) || number < min || number > max) {
            addProblem(key, "must be a whole number from " + min + " to " + max + ", not " + value);
            return fallback;
        }
        return number;
    }

    String text(String key, String fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof String text) || text.isBlank()) {
            addProblem(key, "must be a string that is not blank");
            return fallback;
        }
        return text;
    }

    boolean flag(String key, boolean fallback) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Boolean flag)) {
            addProblem(key, "must be true or false");
            return fallback;
        }
        return flag;
    }

    <E extends Enum<E>> E choice(String key, Class<E> type, E fallback) {
        String text = text(key, null);
        if (text == null) {
            return fallback;
        }
        for (E constant : type.getEnumConstants()) {
            if (nameOf(constant).equals(text)) {
                return constant;
            }
        }
        List<String> names =
                Arrays.stream(type.getEnumConstants()).map(CheckedTable::nameOf).toList();
        addProblem(key, "must be one of " + String.join(", ", names) + ", not " + text);
        return fallback;
    }

    List<Double> numbers(String key, List<Double> fallback, int minSize, int maxSize) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        List<Double> numbers = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (Object element : array.toList()) {
                boolean valid = element instanceof Number n && n.doubleValue() >= 0;
                numbers.add(valid ? ((Number) element).doubleValue() : Double.NaN);
            }
        }
        if (numbers.size() < minSize || numbers.size() > maxSize || numbers.contains(Double.NaN)) {
            addProblem(key, "must be a list of " + minSize + " to " + maxSize + " non-negative numbers");
            return fallback;
        }
        return numbers;
    }

    /** A list of strings, each of which must be allowed; all allowed strings if the key is absent. */
    List<String> texts(String key, List<String> allowed) {
        Object value = value(key);
        if (value == null) {
            return allowed;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            array.toList().forEach(element -> texts.add(String.valueOf(element)));
        }
        if (texts.isEmpty() || !allowed.containsAll(texts)) {
            addProblem(key, "must be a non-empty list of these: " + String.join(", ", allowed));
            return allowed;
        }
        return texts;
    }

    // ---- Tables --------------------------------------------------------------------------------------

    /** Returns an array of tables, such as {@code [[faults]]}; empty if the key is absent. */
    List<CheckedTable> tables(String key) {
        Object value = value(key);
        List<CheckedTable> tables = new ArrayList<>();
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                String elementName = qualified(key) + "[" + i + "]";
                int elementLine = array.inputPositionOf(i).line();
                tables.add(new CheckedTable(file, elementName, array.getTable(i), elementLine, problems));
            }
        } else if (value != null) {
            addProblem(key, "must be a list of tables, [[" + key + "]]");
        }
        return tables;
    }

    /** Returns a nested table; an empty one if the key is absent. */
    CheckedTable table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            addProblem(key, "must be a table, [" + key + "]");
        }
        TomlTable table = value instanceof TomlTable present ? present : null;
        return new CheckedTable(file, qualified(key), table, lineOf(key), problems);
    }

    private String qualified(String key) {
        return name.isEmpty() ? key : name + "." + key;
    }

    /** Returns the line of a key, or that of the table if the table does not have the key. */
    private int lineOf(String key) {
        TomlPosition position = has(key) ? toml.inputPositionOf(List.of(key)) : null;
        return position == null ? line : position.line();
    }
}
