package sedgeyoke.consensus;

import java.util.Map;
import java.util.TreeMap;

/**
 * One field of a document: a number, a table of numbers by name, or a set of names each with a note. An absent number
 * stands for its default, an absent name of a table for the default too.
 *
 * @param name its key
 * @param kind what it holds
 * @param unit of its numbers, or what its names are
 * @param min smallest number
 * @param max largest number, or how many names there may be
 * @param defaultValue what holds where nothing is set
 * @param mergeRule how two versions of it meet
 * @param withoutLease what holds of it without a lease
 * @param sinceVersion the first version of the schema that has it
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
    /** What a field holds. */
    public enum Kind {
        /** One number. */
        NUMBER,
        /** Numbers by name. */
        TABLE,
        /** Names, each with a note. */
        NAMES
    }

    /** How two versions meet: what contradicts neither. */
    public enum MergeRule {
        /** What either has: what is out in one of them is out. */
        UNION,
        /** What both have. */
        INTERSECTION,
        /** The smaller number. */
        MINIMUM,
        /** The larger number. */
        MAXIMUM,
        /** None is stricter: the older holds until the newer is in force; they may overlap. */
        OLDER
    }

    /** What holds without a lease, when later versions may be in force that nobody has told of. */
    public enum WithoutLease {
        /** As last known. */
        LAST_KNOWN,
        /**
         * The meet of what was last known with the floor, a field of its own that later versions may only loosen: so
         * that an old floor is never looser than the one that later versions count with.
         */
        FLOOR,
        /** This is such a floor: as last known, and only ever loosened. */
        IS_FLOOR
    }

    private static final String FLOOR_SUFFIX = "_alone";

    /** The name of the field that holds this one's floor. */
    String floorName() {
        return name + FLOOR_SUFFIX;
    }

    /** Whether {@code next} is at least as loose as {@code now}, by the way in which this field gets stricter. */
    boolean loosens(double now, double next) {
        return mergeRule == MergeRule.MAXIMUM ? next <= now : next >= now;
    }

    /** The meet of two numbers, the older first. */
    double merge(double older, double newer) {
        return switch (mergeRule) {
            case MINIMUM -> Math.min(older, newer);
            case MAXIMUM -> Math.max(older, newer);
            default -> older;
        };
    }

    /** The meet of two tables of numbers, the older first. */
    Map<String, Double> mergeTables(Map<String, Double> older, Map<String, Double> newer) {
        Map<String, Double> met = new TreeMap<>(older);
        older.keySet().forEach(n -> met.put(n, merge(older.get(n), newer.getOrDefault(n, defaultValue))));
        newer.forEach((n, v) -> met.computeIfAbsent(n, absent -> merge(defaultValue, v)));
        return met;
    }

    /** The meet of two sets, the older first; where both have a name, the newer note. */
    Map<String, String> mergeNames(Map<String, String> older, Map<String, String> newer) {
        Map<String, String> met = new TreeMap<>(older);
        if (mergeRule == MergeRule.UNION) {
            met.putAll(newer);
        } else if (mergeRule == MergeRule.INTERSECTION) {
            met.keySet().retainAll(newer.keySet());
        }
        return met;
    }
}
