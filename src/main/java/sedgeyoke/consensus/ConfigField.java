package sedgeyoke.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * The definition of a field of a config document: a number, a table of numbers by name, or a set of names with a note
 * each. A number that is absent from a document or from a table has the default value.
 *
 * @param name the key in documents
 * @param unit the unit of its numbers, or what its names denote
 * @param min the smallest number
 * @param max the largest number, or the largest number of names
 * @param defaultValue the value of an absent number
 * @param mergeRule how the values of two versions are merged
 * @param withoutLease which value a balancer without a lease uses
 * @param sinceVersion the first version of the schema that has this field
 * @param description one phrase for operators
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
        /** All names of both versions: what one of them disables stays disabled. */
        UNION,
        /** The names that are in both versions. */
        INTERSECTION,
        /** The smaller number. */
        MINIMUM,
        /** The larger number. */
        MAXIMUM,
        /**
         * The older value, as neither is stricter. Balancers that have activated the newer version use its value while
         * others still use the older one.
         */
        OLDER
    }

    /** Which value a balancer without a lease uses, given that versions that it does not know may be active. */
    public enum WithoutLease {
        /** The last known value. */
        LAST_KNOWN,
        /**
         * The last known value, merged with the field's floor. The floor is a separate field that later versions may
         * only loosen, so that a floor from an old version is never looser than that of the active version.
         */
        FLOOR,
        /** The last known value. This field is a floor, which later versions may only loosen. */
        IS_FLOOR
    }

    /** The name of the field that holds this field's floor. */
    String floorName() {
        return name + FLOOR_SUFFIX;
    }

    /** Whether {@code newer} is at most as strict as {@code older}. */
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

    /** Merges two sets of names. In a union, a name that is in both has its newer note. */
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
