package sedgeyoke.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * A field of a config document: a number, a table of numbers by name, or a set of names with a note each. An absent
 * number, or an absent name of a table, stands for the default value.
 *
 * @param name the key in documents
 * @param unit of its numbers, or what its names denote
 * @param min the smallest number
 * @param max the largest number, or the largest number of names
 * @param defaultValue the number that an absent one stands for
 * @param mergeRule how the values of two versions are merged
 * @param withoutLease what holds without a lease
 * @param sinceVersion the first version of the schema that has this field
 * @param description one sentence for people
 */
public record ConfigField(
        String name,
        Kind kind,
        String unit,
        double min,
        double max,
        double defaultValue,
        MergeRule mergeRule,
        WithoutLease withoutLease,
        int sinceVersion,
        String description) {
    private static final String FLOOR_SUFFIX = "_alone";

    /** The type of a field's value. */
    public enum Kind {
        /** One number. */
        NUMBER,
        /** Numbers by name. */
        TABLE,
        /** Names with a note each. */
        NAMES
    }

    /** How the values of two versions are merged into one that contradicts neither. */
    public enum MergeRule {
        /** The names of either: what is disabled in one of them is disabled. */
        UNION,
        /** The names of both. */
        INTERSECTION,
        /** The smaller number. */
        MINIMUM,
        /** The larger number. */
        MAXIMUM,
        /** Neither is stricter: the older value holds until the newer version is active, and the two may overlap. */
        OLDER
    }

    /** What holds for a balancer without a lease, when later versions that it does not know may be active. */
    public enum WithoutLease {
        /** The last known value. */
        LAST_KNOWN,
        /**
         * The last known value, merged with the field's floor. The floor is a field of its own that later versions may
         * only loosen, so that an old floor is never looser than a later one.
         */
        FLOOR,
        /** This field is a floor: the last known value, which later versions may only loosen. */
        IS_FLOOR
    }

    /** The name of the field that holds this field's floor. */
    String floorName() {
        return name + FLOOR_SUFFIX;
    }

    /** Whether {@code newer} is at least as loose as {@code older}. */
    boolean isLoosening(double older, double newer) {
        return mergeRule == MergeRule.MAXIMUM ? newer <= older : newer >= older;
    }

    /** Merges two numbers. */
    double merge(double older, double newer) {
        return switch (mergeRule) {
            case MINIMUM -> Math.min(older, newer);
            case MAXIMUM -> Math.max(older, newer);
            default -> older;
        };
    }

    /** Merges two tables of numbers. */
    Map<String, Double> mergeTables(Map<String, Double> older, Map<String, Double> newer) {
        Map<String, Double> merged = new TreeMap<>(older);
        older.keySet().forEach(row -> merged.put(row, merge(older.get(row), newer.getOrDefault(row, defaultValue))));
        newer.forEach((row, value) -> merged.computeIfAbsent(row, absent -> merge(defaultValue, value)));
        return merged;
    }

    /** Merges two sets of names; of a name in both, the newer note is taken. */
    Map<String, String> mergeNames(Map<String, String> older, Map<String, String> newer) {
        Map<String, String> merged = new TreeMap<>(older);
        if (mergeRule == MergeRule.UNION) {
            merged.putAll(newer);
        } else if (mergeRule == MergeRule.INTERSECTION) {
            merged.keySet().retainAll(newer.keySet());
        }
        return merged;
    }
}
