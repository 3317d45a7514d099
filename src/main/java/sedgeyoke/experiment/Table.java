package sedgeyoke.experiment;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;
import sedgeyoke.settings.ConfigProblem;

/** One table of an experiment's file. Each key that is read is checked; one that nobody reads is a problem too. */
final class Table {
    private final Path file;
    private final String name;
    private final TomlTable toml;
    private final int line;
    private final List<ConfigProblem> problems;
    private final Set<String> read = new LinkedHashSet<>();
    /** Values that stand in for the file's: a sweep's. */
    private final Map<String, Double> instead;
    /** Where what is not in this one is looked up; null for nowhere. */
    private final Table behind;

    Table(Path file, String name, TomlTable toml, int line, List<ConfigProblem> problems) {
        this(file, name, toml, line, problems, Map.of(), null);
    }

    private Table(
            Path file,
            String name,
            TomlTable toml,
            int line,
            List<ConfigProblem> problems,
            Map<String, Double> instead,
            Table behind) {
        this.instead = instead;
        this.behind = behind;
        this.file = file;
        this.name = name;
        this.toml = toml;
        this.line = line;
        this.problems = problems;
    }

    boolean has(String key) {
        return toml != null && toml.contains(List.of(key));
    }

    private Object value(String key) {
        read.add(key);
        Double other = instead.get(key);
        if (other != null) {
            return other == Math.rint(other) ? (Object) other.longValue() : other;
        }
        return has(key) ? toml.get(List.of(key)) : behind != null ? behind.value(key) : null;
    }

    void problem(String key, String message) {
        if (behind != null && !has(key) && behind.has(key)) {
            behind.problem(key, message);
            return;
        }
        var at = has(key) ? toml.inputPositionOf(List.of(key)) : null;
        problems.add(new ConfigProblem(
                file.toString(), at == null ? line : at.line(), name.isEmpty() ? key : name + "." + key, message));
    }

    double number(String key, double fallback, double least, double most) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        double number = value instanceof Number n ? n.doubleValue() : Double.NaN;
        if (!(number >= least && number <= most)) {
            problem(key, "must be a number from " + least + " to " + most + ", not " + value);
            return fallback;
        }
        return number;
    }

    long whole(String key, long fallback, long least, long most) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        if (!(value instanceof Long number) || number < least || number > most) {
            problem(key, "must be a whole number from " + least + " to " + most + ", not " + value);
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
            problem(key, "must be a text");
            return fallback;
        }
        return text;
    }

    boolean flag(String key, boolean fallback) {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            problem(key, "must be true or false");
            return fallback;
        }
        return value == null ? fallback : (boolean) value;
    }

    <E extends Enum<E>> E choice(String key, Class<E> type, E fallback) {
        String text = text(key, null);
        if (text == null) {
            return fallback;
        }
        for (E e : type.getEnumConstants()) {
            if (name(e).equals(text)) {
                return e;
            }
        }
        problem(
                key,
                "is one of "
                        + String.join(
                                ", ",
                                java.util.Arrays.stream(type.getEnumConstants())
                                        .map(Table::name)
                                        .toList()) + ", not " + text);
        return fallback;
    }

    static String name(Enum<?> e) {
        return e.toString().toLowerCase(Locale.ROOT);
    }

    List<Double> numbers(String key, List<Double> fallback, int least, int most) {
        Object value = value(key);
        if (value == null) {
            return fallback;
        }
        List<Double> numbers = new ArrayList<>();
        if (value instanceof TomlArray array) {
            for (int i = 0; i < array.size(); i++) {
                numbers.add(array.get(i) instanceof Number n && n.doubleValue() >= 0 ? n.doubleValue() : Double.NaN);
            }
        }
        if (numbers.size() < least || numbers.size() > most || numbers.contains(Double.NaN)) {
            problem(key, "must be a list of " + least + " to " + most + " numbers that are not negative");
            return fallback;
        }
        return numbers;
    }

    /** The same table with other values for some keys. */
    Table with(Map<String, Double> values) {
        return new Table(file, name, toml, line, problems, values, behind);
    }

    /** This table, and what it does not have as that one has it. */
    Table over(Table other) {
        return new Table(file, name, toml, line, problems, instead, other);
    }

    /** Its keys; none where it is not there. */
    Set<String> keys() {
        return toml == null ? Set.of() : toml.keySet();
    }

    /** The whole of it as plain maps, lists and values. */
    Map<String, Object> plain() {
        return toml == null ? Map.of() : toml.toMap();
    }

    List<String> texts(String key, List<String> among) {
        Object value = value(key);
        if (value == null) {
            return among;
        }
        List<String> texts = new ArrayList<>();
        if (value instanceof TomlArray array) {
            array.toList().forEach(t -> texts.add(String.valueOf(t)));
        }
        if (texts.isEmpty() || !among.containsAll(texts)) {
            problem(key, "must be a list of some of " + String.join(", ", among));
            return among;
        }
        return texts;
    }

    /** Tables of a list, like {@code [[faults]]}. */
    List<Table> tables(String key) {
        Object value = value(key);
        List<Table> tables = new ArrayList<>();
        if (value instanceof TomlArray array && array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            for (int i = 0; i < array.size(); i++) {
                tables.add(new Table(
                        file,
                        (name.isEmpty() ? "" : name + ".") + key + "[" + i + "]",
                        array.getTable(i),
                        array.inputPositionOf(i).line(),
                        problems));
            }
        } else if (value != null) {
            problem(key, "must be a list of tables, [[" + key + "]]");
        }
        return tables;
    }

    Table table(String key) {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            problem(key, "must be a table, [" + key + "]");
        }
        var at = has(key) ? toml.inputPositionOf(List.of(key)) : null;
        return new Table(
                file,
                (name.isEmpty() ? "" : name + ".") + key,
                value instanceof TomlTable t ? t : null,
                at == null ? line : at.line(),
                problems);
    }

    /** Whatever nobody has asked for is not known. */
    void done() {
        if (toml != null) {
            toml.keySet().stream()
                    .filter(k -> !read.contains(k))
                    .forEach(k -> problem(k, "is not known; keys here are " + String.join(", ", read)));
        }
    }
}
