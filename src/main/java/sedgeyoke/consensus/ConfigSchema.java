package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.consensus.ConfigField.Kind;
import sedgeyoke.consensus.ConfigField.MergeRule;
import sedgeyoke.consensus.ConfigField.WithoutLease;

/**
 * The fields of a document, and what is said of a whole one. A document can stop sends and cut budgets; none of its
 * fields can start a send that a balancer's own list forbids, since none of them adds to that list.
 */
public final class ConfigSchema {
    /** The version of this schema; balancers and keepers say which one they know. */
    public static final int VERSION = 1;
    /** Names in one set: as many as an operator's door takes by hand. */
    private static final int MAX_NAMES = 1_000;

    private static final int MAX_NAME_LENGTH = 128;
    private static final int MAX_NOTE_LENGTH = 256;

    /** Upstreams that nobody sends to. */
    public static final ConfigField UPSTREAMS_OUT = new ConfigField(
            "upstreams_out",
            Kind.NAMES,
            "upstream ids",
            0,
            MAX_NAMES,
            0,
            MergeRule.UNION,
            WithoutLease.LAST_KNOWN,
            1,
            "upstreams out by hand: nobody sends to them");
    /** Zones that nobody sends to. */
    public static final ConfigField ZONES_OUT = new ConfigField(
            "zones_out",
            Kind.NAMES,
            "zones",
            0,
            MAX_NAMES,
            0,
            MergeRule.UNION,
            WithoutLease.LAST_KNOWN,
            1,
            "zones out by hand: nobody sends to their upstreams");
    /** How many balancers parts of budgets are cut for. */
    public static final ConfigField BALANCERS = new ConfigField(
            "balancers",
            Kind.NUMBER,
            "balancers",
            1,
            100_000,
            1,
            MergeRule.MAXIMUM,
            WithoutLease.FLOOR,
            1,
            "number of balancers that budgets are cut for");
    /** Its floor. */
    public static final ConfigField BALANCERS_ALONE = new ConfigField(
            "balancers_alone",
            Kind.NUMBER,
            "balancers",
            1,
            100_000,
            100_000,
            MergeRule.MAXIMUM,
            WithoutLease.IS_FLOOR,
            1,
            "the same, for a balancer that hears no keeper");
    /** Second tries for each first try. */
    public static final ConfigField RETRIES = new ConfigField(
            "retries",
            Kind.NUMBER,
            "share of first tries",
            0,
            1,
            1,
            MergeRule.MINIMUM,
            WithoutLease.FLOOR,
            1,
            "second tries for each first try, over the tier");
    /** Its floor. */
    public static final ConfigField RETRIES_ALONE = new ConfigField(
            "retries_alone",
            Kind.NUMBER,
            "share of first tries",
            0,
            1,
            0,
            MergeRule.MINIMUM,
            WithoutLease.IS_FLOOR,
            1,
            "the same, for a balancer that hears no keeper");
    /** Part of what settings allow a cold upstream. */
    public static final ConfigField COLD_SHARE = new ConfigField(
            "cold_share",
            Kind.NUMBER,
            "share",
            0,
            1,
            1,
            MergeRule.MINIMUM,
            WithoutLease.FLOOR,
            1,
            "part of what the settings allow a cold upstream");
    /** Its floor. */
    public static final ConfigField COLD_SHARE_ALONE = new ConfigField(
            "cold_share_alone",
            Kind.NUMBER,
            "share",
            0,
            1,
            0,
            MergeRule.MINIMUM,
            WithoutLease.IS_FLOOR,
            1,
            "the same, for a balancer that hears no keeper");
    /** Tenants' shares. */
    public static final ConfigField TENANT_SHARES = new ConfigField(
            "tenant_shares",
            Kind.TABLE,
            "share of capacity",
            0,
            1,
            1,
            MergeRule.MINIMUM,
            WithoutLease.LAST_KNOWN,
            1,
            "most of the capacity that a tenant may use");
    /** Where a keyed repeat is dropped. */
    public static final ConfigField REPEAT_GROUPS = new ConfigField(
            "repeat_groups",
            Kind.NAMES,
            "groups",
            0,
            MAX_NAMES,
            0,
            MergeRule.INTERSECTION,
            WithoutLease.LAST_KNOWN,
            1,
            "groups whose upstreams drop a keyed repeat");
    /** Where planners listen. */
    public static final ConfigField PLANNERS = new ConfigField(
            "planners",
            Kind.NAMES,
            "addresses",
            0,
            16,
            0,
            MergeRule.OLDER,
            WithoutLease.LAST_KNOWN,
            1,
            "where planners listen");

    /** All of them. */
    public static final List<ConfigField> FIELDS = List.of(
            UPSTREAMS_OUT,
            ZONES_OUT,
            BALANCERS,
            BALANCERS_ALONE,
            RETRIES,
            RETRIES_ALONE,
            COLD_SHARE,
            COLD_SHARE_ALONE,
            TENANT_SHARES,
            REPEAT_GROUPS,
            PLANNERS);

    private ConfigSchema() {}

    private static ConfigField field(String name) {
        return FIELDS.stream().filter(f -> f.name().equals(name)).findFirst().orElse(null);
    }

    /** The newest version of the schema that a document needs. */
    public static int requiredVersion(ConfigDocument document) {
        return FIELDS.stream()
                .filter(f -> document.numbers().containsKey(f.name())
                        || document.tables().containsKey(f.name())
                        || document.names().containsKey(f.name()))
                .mapToInt(ConfigField::sinceVersion)
                .max()
                .orElse(1);
    }

    /** All that is wrong with a document that is to follow another one; each with its key. */
    public static List<String> violations(ConfigDocument before, ConfigDocument next) {
        List<String> faults = new ArrayList<>();
        next.numbers().forEach((name, value) -> {
            ConfigField f = expect(name, Kind.NUMBER, faults);
            if (f != null) {
                number(name, f, value, faults);
            }
        });
        next.tables().forEach((name, rows) -> {
            ConfigField f = expect(name, Kind.TABLE, faults);
            if (f != null) {
                size(name, rows.size(), MAX_NAMES, faults);
                rows.forEach((row, value) -> {
                    name(name, row, faults);
                    number(name + "." + printable(row), f, value, faults);
                });
            }
        });
        next.names().forEach((name, rows) -> {
            ConfigField f = expect(name, Kind.NAMES, faults);
            if (f != null) {
                size(name, rows.size(), (int) f.max(), faults);
                rows.forEach((row, note) -> {
                    name(name, row, faults);
                    if (note.length() > MAX_NOTE_LENGTH) {
                        faults.add(name + "." + printable(row) + ": a note of over " + MAX_NOTE_LENGTH + " characters");
                    }
                });
            }
        });
        for (ConfigField f : FIELDS) {
            if (f.withoutLease() == WithoutLease.IS_FLOOR && !f.loosens(before.number(f), next.number(f))) {
                faults.add(f.name() + ": " + before.number(f) + " may only be loosened, not made " + next.number(f)
                        + ": a balancer that is alone goes by the old one");
            }
        }
        return faults;
    }

    private static ConfigField expect(String name, Kind kind, List<String> faults) {
        ConfigField f = field(name);
        if (f == null) {
            faults.add(printable(name) + ": no such key");
        } else if (f.kind() != kind) {
            faults.add(name + ": holds " + f.unit() + ", not this");
            return null;
        }
        return f;
    }

    private static void number(String key, ConfigField f, double value, List<String> faults) {
        if (!(value >= f.min() && value <= f.max())) { // and no NaN
            faults.add(key + ": " + value + " is not " + f.min() + " to " + f.max() + " (" + f.unit() + ")");
        }
    }

    private static void size(String key, int size, int most, List<String> faults) {
        if (size > most) {
            faults.add(key + ": " + size + " entries, " + most + " at most");
        }
    }

    private static void name(String key, String row, List<String> faults) {
        if (row.isBlank() || row.length() > MAX_NAME_LENGTH) {
            faults.add(key + "." + printable(row) + ": a name has 1 to " + MAX_NAME_LENGTH + " characters");
        }
    }

    private static String printable(String text) {
        return text.substring(0, Math.min(64, text.length())).replaceAll("[^ -~]", "?");
    }

    /** What contradicts neither of two versions: the stricter of each field; of what has no stricter, the older. */
    public static ConfigDocument merge(ConfigDocument older, ConfigDocument newer) {
        return combine(older, newer, false);
    }

    /** What may be done without a lease by one that knows this document last. */
    public static ConfigDocument withoutLease(ConfigDocument last) {
        return combine(last, last, true);
    }

    private static ConfigDocument combine(ConfigDocument older, ConfigDocument newer, boolean alone) {
        Map<String, Double> numbers = new TreeMap<>();
        Map<String, Map<String, Double>> tables = new TreeMap<>();
        Map<String, Map<String, String>> names = new TreeMap<>();
        for (ConfigField f : FIELDS) {
            if (f.kind() == Kind.NUMBER) {
                double met = f.merge(older.number(f), newer.number(f));
                numbers.put(
                        f.name(),
                        alone && f.withoutLease() == WithoutLease.FLOOR
                                ? f.merge(met, older.number(field(f.floorName())))
                                : met);
            } else if (f.kind() == Kind.TABLE) {
                tables.put(f.name(), f.mergeTables(older.table(f), newer.table(f)));
            } else {
                names.put(f.name(), f.mergeNames(older.names(f), newer.names(f)));
            }
        }
        return new ConfigDocument(numbers, tables, names);
    }

    /** The fields in which whoever acts by one document may do what another one forbids. */
    public static List<String> contradictions(ConfigDocument acting, ConfigDocument inForce) {
        List<String> found = new ArrayList<>();
        for (ConfigField f : FIELDS) {
            boolean fits =
                    switch (f.kind()) {
                        case NUMBER -> f.merge(acting.number(f), inForce.number(f)) == acting.number(f);
                        case TABLE -> f.mergeTables(acting.table(f), inForce.table(f)).entrySet().stream()
                                .allMatch(e -> e.getValue()
                                        .equals(acting.table(f).getOrDefault(e.getKey(), f.defaultValue())));
                        case NAMES -> f.mergeNames(acting.names(f), inForce.names(f))
                                .keySet()
                                .equals(acting.names(f).keySet());
                    };
            if (!fits) {
                found.add(f.name());
            }
        }
        return found;
    }
}
