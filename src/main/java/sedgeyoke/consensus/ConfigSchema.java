package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.consensus.ConfigField.Kind;
import sedgeyoke.consensus.ConfigField.MergeRule;
import sedgeyoke.consensus.ConfigField.WithoutLease;

/**
 * Defines the fields of a config document, and merges and compares documents; {@link ConfigValidator} validates them. A
 * document can disable upstreams and reduce budgets. No field can make a balancer send to an upstream that is not in
 * its own endpoint list.
 */
public final class ConfigSchema {
    /** The version of this schema; balancers and replicas state which one they support. */
    public static final int VERSION = 1;
    /** The largest number of names in one set; the admin endpoint has the same limit. */
    static final int MAX_NAMES = 1_000;

    private static final int MAX_BALANCERS = 100_000;
    private static final int MAX_PLANNERS = 16;
    private static final String FLOOR_DESCRIPTION = "the same, for a balancer without a lease";

    /** Upstreams that are disabled: no balancer sends to them. */
    public static final ConfigField DISABLED_UPSTREAMS = names(
            "upstreams_out",
            "upstream ids",
            MAX_NAMES,
            MergeRule.UNION,
            "disabled upstreams: no balancer sends to them");

    /** Zones that are disabled: no balancer sends to their upstreams. */
    public static final ConfigField DISABLED_ZONES = names(
            "zones_out", "zones", MAX_NAMES, MergeRule.UNION, "disabled zones: no balancer sends to their upstreams");

    /** The number of balancers among which budgets are divided. */
    public static final ConfigField BALANCERS = number(
            "balancers",
            "balancers",
            new Range(1, MAX_BALANCERS, 1),
            MergeRule.MAXIMUM,
            WithoutLease.FLOOR,
            "number of balancers that budgets are divided among");

    /** The floor of {@link #BALANCERS}. */
    public static final ConfigField BALANCERS_FLOOR = number(
            "balancers_alone",
            "balancers",
            new Range(1, MAX_BALANCERS, MAX_BALANCERS),
            MergeRule.MAXIMUM,
            WithoutLease.IS_FLOOR,
            FLOOR_DESCRIPTION);

    /** The ratio of retries to first attempts, over all balancers. */
    public static final ConfigField RETRY_RATIO = number(
            "retries",
            "retries per first attempt",
            new Range(0, 1, 1),
            MergeRule.MINIMUM,
            WithoutLease.FLOOR,
            "ratio of retries to first attempts, over all balancers");

    /** The floor of {@link #RETRY_RATIO}. */
    public static final ConfigField RETRY_RATIO_FLOOR = number(
            "retries_alone",
            "retries per first attempt",
            new Range(0, 1, 0),
            MergeRule.MINIMUM,
            WithoutLease.IS_FLOOR,
            FLOOR_DESCRIPTION);

    /** The share of the slow-start quota from the balancer's settings that an upstream gets. */
    public static final ConfigField SLOW_START_SHARE = number(
            "cold_share",
            "share",
            new Range(0, 1, 1),
            MergeRule.MINIMUM,
            WithoutLease.FLOOR,
            "share of the slow-start quota that the settings allow");

    /** The floor of {@link #SLOW_START_SHARE}. */
    public static final ConfigField SLOW_START_SHARE_FLOOR = number(
            "cold_share_alone",
            "share",
            new Range(0, 1, 0),
            MergeRule.MINIMUM,
            WithoutLease.IS_FLOOR,
            FLOOR_DESCRIPTION);

    /** The largest share of the capacity for each tenant. */
    public static final ConfigField TENANT_QUOTAS = new ConfigField(
            "tenant_shares",
            Kind.TABLE,
            "share of capacity",
            0,
            1,
            1,
            MergeRule.MINIMUM,
            WithoutLease.LAST_KNOWN,
            1,
            "largest share of the capacity for each tenant");

    /** Groups whose upstreams drop a repeated request with the same idempotency key. */
    public static final ConfigField DEDUPLICATING_GROUPS = names(
            "repeat_groups",
            "groups",
            MAX_NAMES,
            MergeRule.INTERSECTION,
            "groups whose upstreams drop a repeated idempotency key");

    /** The addresses on which planners listen. */
    public static final ConfigField PLANNERS =
            names("planners", "addresses", MAX_PLANNERS, MergeRule.OLDER, "addresses on which planners listen");

    /** All fields. */
    public static final List<ConfigField> FIELDS = List.of(
            DISABLED_UPSTREAMS,
            DISABLED_ZONES,
            BALANCERS,
            BALANCERS_FLOOR,
            RETRY_RATIO,
            RETRY_RATIO_FLOOR,
            SLOW_START_SHARE,
            SLOW_START_SHARE_FLOOR,
            TENANT_QUOTAS,
            DEDUPLICATING_GROUPS,
            PLANNERS);

    /** The smallest and largest value of a number, and its value in documents that lack it. */
    private record Range(double min, double max, double defaultValue) {}

    private ConfigSchema() {}

    private static ConfigField number(
            String name, String unit, Range range, MergeRule mergeRule, WithoutLease withoutLease, String description) {
        return new ConfigField(
                name,
                Kind.NUMBER,
                unit,
                range.min(),
                range.max(),
                range.defaultValue(),
                mergeRule,
                withoutLease,
                1,
                description);
    }

    private static ConfigField names(String name, String unit, int maxNames, MergeRule mergeRule, String description) {
        return new ConfigField(
                name, Kind.NAMES, unit, 0, maxNames, 0, mergeRule, WithoutLease.LAST_KNOWN, 1, description);
    }

    /** The field with this name; null if there is none. */
    static ConfigField field(String name) {
        return FIELDS.stream()
                .filter(field -> field.name().equals(name))
                .findFirst()
                .orElse(null);
    }

    /** The lowest version of the schema that has all fields of a document. */
    public static int requiredVersion(ConfigDocument document) {
        return FIELDS.stream()
                .filter(document::has)
                .mapToInt(ConfigField::sinceVersion)
                .max()
                .orElse(1);
    }

    /** Merges two versions into a document that contradicts neither, except in {@link MergeRule#OLDER} fields. */
    public static ConfigDocument merge(ConfigDocument older, ConfigDocument newer) {
        Map<String, Double> numbers = new TreeMap<>();
        Map<String, Map<String, Double>> tables = new TreeMap<>();
        Map<String, Map<String, String>> names = new TreeMap<>();
        for (ConfigField field : FIELDS) {
            switch (field.kind()) {
                case NUMBER -> numbers.put(field.name(), field.merge(older.number(field), newer.number(field)));
                case TABLE -> tables.put(field.name(), field.mergeTables(older.table(field), newer.table(field)));
                case NAMES -> names.put(field.name(), field.mergeNames(older.names(field), newer.names(field)));
                default -> throw new IllegalStateException("field of kind " + field.kind());
            }
        }
        return new ConfigDocument(numbers, tables, names);
    }

    /** The document that a balancer without a lease uses, given the last one that it received. */
    public static ConfigDocument withoutLease(ConfigDocument last) {
        ConfigDocument document = merge(last, last);
        for (ConfigField field : FIELDS) {
            if (field.withoutLease() == WithoutLease.FLOOR) {
                double floor = last.number(field(field.floorName()));
                document = document.with(field, field.merge(document.number(field), floor));
            }
        }
        return document;
    }

    /** The names of the fields in which {@code acting}, a balancer's document, permits what {@code active} forbids. */
    public static List<String> contradictions(ConfigDocument acting, ConfigDocument active) {
        List<String> contradictions = new ArrayList<>();
        for (ConfigField field : FIELDS) {
            if (!isAsStrict(field, acting, active)) {
                contradictions.add(field.name());
            }
        }
        return contradictions;
    }

    private static boolean isAsStrict(ConfigField field, ConfigDocument acting, ConfigDocument active) {
        return switch (field.kind()) {
            case NUMBER -> field.merge(acting.number(field), active.number(field)) == acting.number(field);
            case TABLE -> {
                Map<String, Double> table = acting.table(field);
                yield field.mergeTables(table, active.table(field)).entrySet().stream()
                        .allMatch(row -> row.getValue().equals(table.getOrDefault(row.getKey(), field.defaultValue())));
            }
            case NAMES -> {
                Map<String, String> names = acting.names(field);
                yield field.mergeNames(names, active.names(field)).keySet().equals(names.keySet());
            }
        };
    }
}
