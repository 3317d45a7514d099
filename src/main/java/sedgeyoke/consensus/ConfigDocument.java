package sedgeyoke.consensus;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The content of a config version. It contains only the fields that are set, sorted by name, so that equal documents
 * have equal encodings. {@link ConfigSchema} defines the fields.
 *
 * @param numbers for each field of kind NUMBER, its value
 * @param tables for each field of kind TABLE, its numbers by row name
 * @param names for each field of kind NAMES, its names with their notes
 */
public record ConfigDocument(
        Map<String, Double> numbers, Map<String, Map<String, Double>> tables, Map<String, Map<String, String>> names) {
    /** A document in which no field is set. */
    public static final ConfigDocument EMPTY = new ConfigDocument(Map.of(), Map.of(), Map.of());

    /** Copies the maps. Omits empty tables and sets of names, which mean the same as absent ones. */
    public ConfigDocument {
        numbers = Collections.unmodifiableMap(new TreeMap<>(numbers));
        tables = copy(tables);
        names = copy(names);
    }

    private static <V> Map<String, Map<String, V>> copy(Map<String, Map<String, V>> original) {
        Map<String, Map<String, V>> copy = new TreeMap<>();
        original.forEach((field, values) -> {
            if (!values.isEmpty()) {
                copy.put(field, Collections.unmodifiableMap(new TreeMap<>(values)));
            }
        });
        return Collections.unmodifiableMap(copy);
    }

    /** The number of a field, or its default value. */
    public double number(ConfigField field) {
        return numbers.getOrDefault(field.name(), field.defaultValue());
    }

    /** The table of a field; empty if it is not set. */
    public Map<String, Double> table(ConfigField field) {
        return tables.getOrDefault(field.name(), Map.of());
    }

    /** The names of a field with their notes; empty if it is not set. */
    public Map<String, String> names(ConfigField field) {
        return names.getOrDefault(field.name(), Map.of());
    }

    /** A copy with another number in one field. */
    public ConfigDocument with(ConfigField field, double number) {
        Map<String, Double> changed = new TreeMap<>(numbers);
        changed.put(field.name(), number);
        return new ConfigDocument(changed, tables, names);
    }

    /** A copy with another set of names in one field. */
    public ConfigDocument with(ConfigField field, Map<String, String> set) {
        Map<String, Map<String, String>> changed = new TreeMap<>(names);
        changed.put(field.name(), set);
        return new ConfigDocument(numbers, tables, changed);
    }

    /** A copy with another table in one field. */
    public ConfigDocument withTable(ConfigField field, Map<String, Double> table) {
        Map<String, Map<String, Double>> changed = new TreeMap<>(tables);
        changed.put(field.name(), table);
        return new ConfigDocument(numbers, changed, names);
    }

    /** Whether a field is set. */
    boolean has(ConfigField field) {
        return numbers.containsKey(field.name()) || tables.containsKey(field.name()) || names.containsKey(field.name());
    }
}
