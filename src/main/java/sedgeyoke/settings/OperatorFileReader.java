package sedgeyoke.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;

/** Reads one operator's file and checks each key, then the keys that depend on each other. */
final class OperatorFileReader {
    private static final long MAX_FILE_BYTES = 1 << 20;

    private final Path file;
    private final TomlParseResult toml;
    /** Values by the current path of their key, even if the file uses its deprecated name. The lines likewise. */
    private final Map<String, Object> values = new LinkedHashMap<>();

    private final Map<String, Integer> lines = new HashMap<>();
    private final List<ConfigProblem> problems = new ArrayList<>();
    /** Deprecated names in the file, by the current names and in their order. */
    private final Map<String, String> renamed = new TreeMap<>();

    private OperatorFileReader(Path file, TomlParseResult toml) {
        this.file = file;
        this.toml = toml;
    }

    /**
     * Reads a file.
     *
     * @param warnings receives one line if the file contains deprecated names
     * @throws InvalidOperatorFileException with all problems of the file, each with its line
     */
    static OperatorFile read(Path file, Consumer<String> warnings) throws InvalidOperatorFileException {
        OperatorFileReader reader;
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw unreadable(file, "is larger than " + MAX_FILE_BYTES + " bytes");
            }
            reader = new OperatorFileReader(file, Toml.parse(file));
        } catch (IOException e) {
            throw unreadable(file, "cannot be read: " + e);
        }
        reader.check();
        if (!reader.problems.isEmpty()) {
            reader.problems.sort(Comparator.comparingInt(ConfigProblem::line));
            throw new InvalidOperatorFileException(reader.problems);
        }
        reader.warnOfRenamed(warnings);
        return new OperatorFile(file, reader.values);
    }

    private static InvalidOperatorFileException unreadable(Path file, String message) {
        return new InvalidOperatorFileException(List.of(new ConfigProblem(file.toString(), 0, "", message)));
    }

    private void check() {
        toml.errors().forEach(error -> report(error.position().line(), "", error.getMessage()));
        if (!problems.isEmpty()) {
            return; // after a syntax error, each key would be reported as well
        }
        for (String path : toml.dottedKeySet(true)) {
            checkKey(path);
        }
        checkFeatures();
    }

    private void warnOfRenamed(Consumer<String> warnings) {
        if (!renamed.isEmpty()) {
            List<String> pairs = new ArrayList<>();
            renamed.forEach((current, old) -> pairs.add(old + " is now " + current));
            warnings.accept(file + ": old names are still accepted: " + String.join(", ", pairs));
        }
    }

    // ---- Single keys ---------------------------------------------------------------------------------

    private void checkKey(String path) {
        String current = RenamedKeys.currentPath(path);
        if (!current.equals(path)) {
            recordRenamed(path, current);
        }
        Key key = OperatorFileKeys.get(current);
        if (key == null) {
            checkUnknown(path, current);
            return;
        }
        if (lines.putIfAbsent(current, lineOf(path)) != null) {
            report(lineOf(path), path, "is set a second time, under its old and its current name");
            return;
        }
        Object value = valueOfType(key.type(), toml.get(path));
        String problem = value == null
                ? "must be " + key.type().description
                : key.validation().apply(value);
        if (problem != null) {
            report(lineOf(path), path, problem);
        } else {
            values.put(current, value);
        }
    }

    /** Records the deprecated name of the section, of the key, or of both. */
    private void recordRenamed(String path, String current) {
        String section = "[" + path.split("\\.", 2)[0] + "]";
        String currentSection = "[" + current.split("\\.", 2)[0] + "]";
        if (!section.equals(currentSection)) {
            renamed.put(currentSection, section);
        }
        String name = path.substring(path.lastIndexOf('.') + 1);
        String currentName = current.substring(current.lastIndexOf('.') + 1);
        if (path.contains(".") && !name.equals(currentName)) {
            renamed.put(currentName, name);
        }
    }

    private void checkUnknown(String path, String current) {
        boolean section = toml.isTable(path) && OperatorFileKeys.isSection(current);
        boolean prefix = toml.isTable(path) && OperatorFileKeys.isPrefix(current);
        if (!section && !prefix) {
            report(lineOf(path), path, "is not known; " + OperatorFileKeys.suggestionFor(current));
        }
    }

    /** Returns the value if it has the type of the key, else null. */
    private static Object valueOfType(Key.Type type, Object value) {
        if (value instanceof TomlArray array) {
            List<Object> items =
                    IntStream.range(0, array.size()).mapToObj(array::get).toList();
            return type == Key.Type.STRINGS && items.stream().allMatch(String.class::isInstance) ? items : null;
        }
        boolean fits = (type == Key.Type.BOOLEAN && value instanceof Boolean)
                || (type == Key.Type.INTEGER && value instanceof Long)
                || (type == Key.Type.STRING && value instanceof String);
        return fits ? value : null;
    }

    // ---- Features ------------------------------------------------------------------------------------

    /** Checks that enabled features have the keys they need, and that no two of them exclude each other. */
    private void checkFeatures() {
        if (enabled("plans")) {
            require("plans", "planners", "certificate", "key", "trust");
        }
        if (enabled("planner")) {
            require("planner", "name", "listen", "certificate", "key", "trust");
        }
        if (enabled("config")) {
            require("config", "servers", "certificate", "key", "trust");
        }
        if (enabled("config_server")) {
            require("config_server", "tier", "name", "listen", "folder", "servers", "certificate", "key", "trust");
            checkServersContainThisServer();
        }
        if (enabled("plans") && enabled("planner")) {
            report(
                    currentLine("planner.enabled"),
                    "planner.enabled",
                    "excludes plans.enabled (line " + currentLine("plans.enabled")
                            + "): a process is a forwarder or a planner; use a separate file for each");
        }
    }

    private void checkServersContainThisServer() {
        Object name = values.get("config_server.name");
        Object servers = values.get("config_server.servers");
        if (name != null
                && servers != null
                && !Addresses.parseNamed((List<?>) servers).containsKey(name)) {
            report(
                    currentLine("config_server.servers"),
                    "config_server.servers",
                    "must contain this server (" + name + ")");
        }
    }

    private boolean enabled(String section) {
        return Boolean.TRUE.equals(values.get(section + ".enabled"));
    }

    private void require(String section, String... keys) {
        for (String key : keys) {
            String path = section + "." + key;
            Object value = values.get(path);
            boolean reported = problems.stream()
                    .anyMatch(problem -> RenamedKeys.currentPath(problem.key()).equals(path));
            if (!reported && (value == null || (value instanceof List<?> list && list.isEmpty()))) {
                report(currentLine(section + ".enabled"), path, "is needed where " + section + ".enabled is true");
            }
        }
    }

    // ---- Lines ---------------------------------------------------------------------------------------

    private void report(int line, String key, String message) {
        problems.add(new ConfigProblem(file.toString(), line, key, message));
    }

    /** Returns the line of a path as written in the file; 0 if the file does not contain it. */
    private int lineOf(String path) {
        var position = toml.inputPositionOf(path);
        return position == null ? 0 : position.line();
    }

    private int currentLine(String currentPath) {
        return lines.getOrDefault(currentPath, 0);
    }
}
