package sedgeyoke.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * What the tier agrees on, as the schema words it. Only fields that are set are held; sorted, so that equal documents
 * are written alike everywhere.
 *
 * @param numbers by field
 * @param tables by field, then by name
 * @param names by field, then by name, with a note each
 */
public record ConfigDocument(
        Map<String, Double> numbers, Map<String, Map<String, Double>> tables, Map<String, Map<String, String>> names) {
    /** Nothing is set. */
    public static final ConfigDocument EMPTY = new ConfigDocument(Map.of(), Map.of(), Map.of());

    /** Copies what it is given, without empty tables and sets: they say no more than absent ones. */
    public ConfigDocument {
        numbers = java.util.Collections.unmodifiableMap(new TreeMap<>(numbers));
        tables = copy(tables);
        names = copy(names);
    }

    private static <V> Map<String, Map<String, V>> copy(Map<String, Map<String, V>> from) {
        Map<String, Map<String, V>> to = new TreeMap<>();
        from.forEach((field, values) -> {
            if (!values.isEmpty()) {
                to.put(field, java.util.Collections.unmodifiableMap(new TreeMap<>(values)));
            }
        });
        return java.util.Collections.unmodifiableMap(to);
    }

    /** A number, or what is usual. */
    public double number(ConfigField field) {
        return numbers.getOrDefault(field.name(), field.defaultValue());
    }

    /** A table; empty if not set. */
    public Map<String, Double> table(ConfigField field) {
        return tables.getOrDefault(field.name(), Map.of());
    }

    /** A set of names with their notes; empty if not set. */
    public Map<String, String> names(ConfigField field) {
        return names.getOrDefault(field.name(), Map.of());
    }

    /** The same with one number. */
    public ConfigDocument with(ConfigField field, double number) {
        Map<String, Double> changed = new TreeMap<>(numbers);
        changed.put(field.name(), number);
        return new ConfigDocument(changed, tables, names);
    }

    /** The same with one set. */
    public ConfigDocument with(ConfigField field, Map<String, String> set) {
        Map<String, Map<String, String>> changed = new TreeMap<>(names);
        changed.put(field.name(), set);
        return new ConfigDocument(numbers, tables, changed);
    }

    /** The same with one table. */
    public ConfigDocument withTable(ConfigField field, Map<String, Double> table) {
        Map<String, Map<String, Double>> changed = new TreeMap<>(tables);
        changed.put(field.name(), table);
        return new ConfigDocument(numbers, changed, names);
    }

    /** How many fields, names and rows it holds: what its size is bounded by. */
    int entries() {
        return numbers.size()
                + tables.values().stream().mapToInt(Map::size).sum()
                + names.values().stream().mapToInt(Map::size).sum();
    }
}
