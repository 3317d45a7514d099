package sedgeyoke.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sedgeyoke.simulation.Scenario.Fault;

/**
 * An experiment file that a worst-case search generates. Drafts are always run from their TOML text, so that the file
 * written for a finding reproduces it.
 *
 * @param title one-line title
 * @param scenario keys of {@code [scenario]}
 * @param faults faults common to all variants
 * @param variants tables of the variants
 * @param compare keys of {@code [compare]}
 */
record ScenarioDraft(
        String title,
        Map<String, Object> scenario,
        List<Fault> faults,
        List<Map<String, Object>> variants,
        Map<String, Object> compare) {
    private static final double DEFAULT_SECONDS = 30;
    private static final String FAULTS = "faults";

    /** Returns the duration of a scenario in seconds. */
    static double secondsOf(Map<String, Object> scenario) {
        return scenario.get("seconds") instanceof Number seconds ? seconds.doubleValue() : DEFAULT_SECONDS;
    }

    /** Returns a copy of this draft with another value for a key of the scenario. */
    ScenarioDraft with(String key, Object value) {
        Map<String, Object> changed = new LinkedHashMap<>(scenario);
        changed.put(key, value);
        return new ScenarioDraft(title, changed, faults, variants, compare);
    }

    /** Returns a copy of this draft without one of its faults. */
    ScenarioDraft withoutFault(int index) {
        List<Fault> remaining = new ArrayList<>(faults);
        remaining.remove(index);
        return new ScenarioDraft(title, scenario, remaining, variants, compare);
    }

    /** Returns the draft as the text of an experiment file. */
    String toToml() {
        StringBuilder toml = new StringBuilder();
        appendKey(toml, "title", title);
        appendTable(toml, "[scenario]", scenario);
        for (Fault fault : faults) {
            appendTable(toml, "[[faults]]", table(fault));
        }
        for (Map<String, Object> variant : variants) {
            appendTable(toml, "[[variants]]", variant);
            if (variant.get(FAULTS) instanceof List<?> ownFaults) {
                for (Object fault : ownFaults) {
                    appendTable(toml, "[[variants.faults]]", (Map<?, ?>) fault);
                }
            }
        }
        appendTable(toml, "[compare]", compare);
        return toml.toString();
    }

    private static Map<String, Object> table(Fault fault) {
        Map<String, Object> table = new LinkedHashMap<>();
        table.put("at", fault.startSeconds());
        table.put("do", CheckedTable.nameOf(fault.kind()));
        if (fault.target() >= 0) {
            table.put("who", (long) fault.target());
        }
        table.put("lasts", fault.durationSeconds());
        table.put("value", fault.value());
        return table;
    }

    private static void appendTable(StringBuilder toml, String header, Map<?, ?> keys) {
        toml.append('\n').append(header).append('\n');
        keys.forEach((key, value) -> {
            if (!key.equals(FAULTS)) { // written as separate tables
                appendKey(toml, key.toString(), value);
            }
        });
    }

    private static void appendKey(StringBuilder toml, String key, Object value) {
        toml.append(key).append(" = ").append(tomlValue(value)).append('\n');
    }

    private static String tomlValue(Object value) {
        if (value instanceof String text) {
            return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        }
        if (value instanceof List<?> list) {
            return "["
                    + String.join(
                            ", ", list.stream().map(ScenarioDraft::tomlValue).toList())
                    + "]";
        }
        if (value instanceof Double number) {
            return String.format(Locale.ROOT, "%.4f", number).replaceAll("(\\.\\d+?)0+$", "$1");
        }
        return String.valueOf(value);
    }
}
