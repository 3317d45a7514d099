package sedgeyoke.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import sedgeyoke.simulation.Scenario.Fault;

/**
 * An experiment that is being made up, and its text: what is played is read back from that text, so that a file that
 * was found shows what it was found for.
 *
 * @param title in a line
 * @param scenario keys of {@code [scenario]}
 * @param faults of all variants
 * @param variants tables of the variants, as a file has them
 * @param compare keys of {@code [compare]}
 */
record ScenarioDraft(
        String title,
        Map<String, Object> scenario,
        List<Fault> faults,
        List<Map<String, Object>> variants,
        Map<String, Object> compare) {

    /** The same with another value of a key of the scenario. */
    ScenarioDraft with(String key, Object value) {
        Map<String, Object> other = new LinkedHashMap<>(scenario);
        other.put(key, value);
        return new ScenarioDraft(title, other, faults, variants, compare);
    }

    /** The same without one of its faults. */
    ScenarioDraft without(int fault) {
        List<Fault> fewer = new ArrayList<>(faults);
        fewer.remove(fault);
        return new ScenarioDraft(title, scenario, fewer, variants, compare);
    }

    /** As a file. */
    String text() {
        StringBuilder text = new StringBuilder("title = ").append(value(title)).append("\n\n[scenario]\n");
        keys(text, scenario);
        for (Fault f : faults) {
            text.append("\n[[faults]]\n");
            keys(text, table(f));
        }
        for (Map<String, Object> v : variants) {
            text.append("\n[[variants]]\n");
            keys(text, v);
            if (v.get("faults") instanceof List<?> own) {
                for (Object f : own) {
                    text.append("\n[[variants.faults]]\n");
                    ((Map<?, ?>) f).forEach((key, value) -> line(text, key.toString(), value));
                }
            }
        }
        text.append("\n[compare]\n");
        keys(text, compare);
        return text.toString();
    }

    private static Map<String, Object> table(Fault f) {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("at", f.startSeconds());
        t.put("do", Table.name(f.kind()));
        if (f.target() >= 0) {
            t.put("who", (long) f.target());
        }
        t.put("lasts", f.durationSeconds());
        t.put("value", f.value());
        return t;
    }

    private static void keys(StringBuilder text, Map<String, Object> keys) {
        keys.forEach((key, value) -> line(text, key, value));
    }

    private static void line(StringBuilder text, String key, Object value) {
        if (!key.equals("faults")) {
            text.append(key).append(" = ").append(value(value)).append('\n');
        }
    }

    private static String value(Object value) {
        if (value instanceof String s) {
            return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
        } else if (value instanceof List<?> list) {
            return "["
                    + String.join(", ", list.stream().map(ScenarioDraft::value).toList()) + "]";
        } else if (value instanceof Double d) {
            return String.format(Locale.ROOT, "%.4f", d).replaceAll("(\\.\\d+?)0+$", "$1");
        }
        return String.valueOf(value);
    }
}
