package sedgeyoke.experiment;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import sedgeyoke.settings.ConfigProblem;
import sedgeyoke.simulation.Scenario;
import sedgeyoke.simulation.Scenario.Fault;

/** Parses the tables of an experiment file: days, sweep, variants, comparison and search space. */
final class ExperimentParser {
    private static final int MAX_VARIANTS = 32;
    private static final int MAX_POINTS = 64;
    private static final int MAX_DAYS = 32;
    private static final String DAY_NAME = "[a-z0-9+-]{1,32}";

    private final CheckedTable root;
    private final List<ConfigProblem> problems;

    /** A day, with the file's scenario as modified for that day, and all faults, including those common to all days. */
    private record Day(String name, CheckedTable scenario, List<Fault> faults) {}

    ExperimentParser(CheckedTable root, List<ConfigProblem> problems) {
        this.root = root;
        this.problems = problems;
    }

    /** Parses the file. The result is valid only if no problem was added to the list. */
    ExperimentFile parse(String name, String digest) {
        String title = root.text("title", name);
        if (root.flag("theory", false)) {
            root.rejectUnreadKeys();
            return new ExperimentFile(
                    name, title, true, digest, List.of(), ExperimentFile.Comparison.NONE, Optional.empty());
        }
        CheckedTable scenario = root.table("scenario");
        List<Fault> faults = ScenarioParser.faults(root);
        List<CheckedTable> variantTables = root.tables("variants");
        List<ExperimentFile.Point> points = points(scenario, faults, variantTables);
        if (variantTables.isEmpty()) {
            root.addProblem("variants", "at least one [[variants]] table is required");
        }
        List<String> variants = points.isEmpty()
                ? List.of()
                : List.copyOf(points.get(0).variants().keySet());
        ExperimentFile.Comparison comparison = comparison(variants);
        Optional<SearchSpace> searchSpace = searchSpace(scenario, variantTables, variants);
        root.rejectUnreadKeys();
        return new ExperimentFile(name, title, false, digest, points, comparison, searchSpace);
    }

    private List<ExperimentFile.Point> points(
            CheckedTable scenario, List<Fault> faults, List<CheckedTable> variantTables) {
        List<Map<String, Double>> sweep = sweep();
        List<ExperimentFile.Point> points = new ArrayList<>();
        for (Day day : days(scenario, faults)) {
            for (Map<String, Double> at : sweep) {
                if (points.isEmpty() || problems.isEmpty()) { // problems would be reported again at each point
                    Scenario pointScenario =
                            ScenarioParser.scenario(day.scenario().withOverrides(at));
                    points.add(new ExperimentFile.Point(
                            day.name(), at, variants(variantTables, pointScenario, day.faults())));
                }
            }
        }
        return points;
    }

    /** Returns the days of the file, or a single unnamed day with the file's own scenario if it has none. */
    private List<Day> days(CheckedTable scenario, List<Fault> commonFaults) {
        List<Day> days = new ArrayList<>();
        for (CheckedTable table : root.tables("days")) {
            String name = table.text("name", null);
            if (!isValidDayName(name, days)) {
                table.addProblem(
                        "name",
                        "is required and unique, with only a-z, 0-9, + and -; at most " + MAX_DAYS + " are allowed");
                continue;
            }
            List<Fault> faults = new ArrayList<>(commonFaults);
            faults.addAll(ScenarioParser.faults(table));
            days.add(new Day(name, table.table("scenario").withDefaults(scenario), faults));
            table.rejectUnreadKeys();
        }
        return days.isEmpty() ? List.of(new Day("", scenario, commonFaults)) : days;
    }

    private static boolean isValidDayName(String name, List<Day> days) {
        return name != null
                && name.matches(DAY_NAME)
                && days.size() < MAX_DAYS
                && days.stream().noneMatch(day -> day.name().equals(name));
    }

    private static Map<String, Scenario> variants(
            List<CheckedTable> tables, Scenario scenario, List<Fault> commonFaults) {
        Map<String, Scenario> variants = new LinkedHashMap<>();
        for (CheckedTable table : tables) {
            String name = table.text("name", null);
            if (name == null || variants.containsKey(name) || variants.size() == MAX_VARIANTS) {
                table.addProblem("name", "is required and unique; at most " + MAX_VARIANTS + " variants are allowed");
                continue;
            }
            variants.put(name, ScenarioParser.variant(table, scenario, commonFaults));
            table.rejectUnreadKeys();
        }
        return variants;
    }

    /** Returns all combinations of the swept values; a single empty one if nothing is swept. */
    private List<Map<String, Double>> sweep() {
        List<Map<String, Double>> points = List.of(Map.of());
        for (CheckedTable axis : root.tables("sweep")) {
            String key = axis.text("key", "");
            if (!ScenarioParser.VARIABLE_KEYS.contains(key)) {
                axis.addProblem("key", "must be one of " + String.join(", ", ScenarioParser.VARIABLE_KEYS));
            }
            points = combinations(points, key, axis.numbers("values", List.of(), 1, MAX_POINTS));
            axis.rejectUnreadKeys();
            if (points.size() > MAX_POINTS) {
                axis.addProblem(
                        "values", "make more than " + MAX_POINTS + " points when combined with the previous sweeps");
                return List.of();
            }
        }
        return points;
    }

    private static List<Map<String, Double>> combinations(
            List<Map<String, Double>> points, String key, List<Double> values) {
        List<Map<String, Double>> combinations = new ArrayList<>();
        for (Map<String, Double> point : points) {
            for (double value : values) {
                Map<String, Double> combination = new LinkedHashMap<>(point);
                combination.put(key, value);
                combinations.add(combination);
            }
        }
        return combinations;
    }

    private ExperimentFile.Comparison comparison(List<String> variants) {
        CheckedTable table = root.table("compare");
        ExperimentFile.Comparison comparison = new ExperimentFile.Comparison(
                variantName(table, "base", variants, firstOf(variants)),
                variantName(table, "with", variants, ""),
                variantName(table, "failing", variants, ""));
        table.rejectUnreadKeys();
        return comparison;
    }

    private static String firstOf(List<String> variants) {
        return variants.isEmpty() ? "" : variants.get(0);
    }

    private static String variantName(CheckedTable table, String key, List<String> variants, String fallback) {
        String name = table.text(key, fallback);
        if (!name.isEmpty() && !variants.contains(name)) {
            table.addProblem(key, "is not a variant; variants are " + String.join(", ", variants));
        }
        return name;
    }

    private Optional<SearchSpace> searchSpace(
            CheckedTable scenario, List<CheckedTable> variantTables, List<String> variants) {
        if (!root.has("hunt")) {
            return Optional.empty();
        }
        if (root.has("days")) {
            root.addProblem("hunt", "cannot be combined with [[days]]");
        }
        CheckedTable table = root.table("hunt");
        String variant = variantName(table, "variant", variants, firstOf(variants));
        String against = variantName(table, "against", variants, "");
        Map<String, SearchSpace.Range> ranges = ranges(table.table("ranges"));
        SearchSpace space = new SearchSpace(
                variant,
                against,
                table.integer("tries", 40, 1, 100_000),
                table.integer("most_faults", 4, 0, 50),
                faultKinds(table),
                ranges,
                scenario.toMap(),
                variantTables.stream()
                        .map(CheckedTable::toMap)
                        .filter(map -> variant.equals(map.get("name")) || against.equals(map.get("name")))
                        .toList());
        table.rejectUnreadKeys();
        return Optional.of(space);
    }

    private static Map<String, SearchSpace.Range> ranges(CheckedTable table) {
        Map<String, SearchSpace.Range> ranges = new LinkedHashMap<>();
        for (String key : table.keys()) {
            List<Double> ends = table.numbers(key, List.of(0.0, 0.0), 2, 2);
            if (!ScenarioParser.VARIABLE_KEYS.contains(key) || ends.get(0) > ends.get(1)) {
                table.addProblem(
                        key,
                        "must be [min, max], and the key one of " + String.join(", ", ScenarioParser.VARIABLE_KEYS));
            }
            ranges.put(key, new SearchSpace.Range(ends.get(0), ends.get(1)));
        }
        return ranges;
    }

    private static List<Scenario.Kind> faultKinds(CheckedTable table) {
        List<String> allNames =
                Arrays.stream(Scenario.Kind.values()).map(CheckedTable::nameOf).toList();
        return table.texts("kinds", allNames).stream()
                .map(name -> Scenario.Kind.valueOf(name.toUpperCase(Locale.ROOT)))
                .toList();
    }
}
