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
 * @param least smallest number
 * @param most largest number, or how many names there may be
 * @param usual what holds where nothing is set
 * @param meet how two versions of it meet
 * @param alone what holds of it without a lease
 * @param since the first version of the schema that has it
 * @param says one sentence for people
 */
public record ConfigField(
        String name,
        Kind kind,
        String unit,
        double least,
        double most,
        double usual,
        Meet meet,
        Alone alone,
        int since,
        String says) {
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
    public enum Meet {
        /** What either has: what is out in one of them is out. */
        UNION,
        /** What both have. */
        COMMON,
        /** The smaller number. */
        LEAST,
        /** The larger number. */
        GREATEST,
        /** None is stricter: the older holds until the newer is in force; they may overlap. */
        LATER
    }

    /** What holds without a lease, when later versions may be in force that nobody has told of. */
    public enum Alone {
        /** As last known. */
        LAST,
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
        return meet == Meet.GREATEST ? next <= now : next >= now;
    }

    /** The meet of two numbers, the older first. */
    double meet(double older, double newer) {
        return switch (meet) {
            case LEAST -> Math.min(older, newer);
            case GREATEST -> Math.max(older, newer);
            default -> older;
        };
    }

    /** The meet of two tables of numbers, the older first. */
    Map<String, Double> meetTables(Map<String, Double> older, Map<String, Double> newer) {
        Map<String, Double> met = new TreeMap<>(older);
        older.keySet().forEach(n -> met.put(n, meet(older.get(n), newer.getOrDefault(n, usual))));
        newer.forEach((n, v) -> met.computeIfAbsent(n, absent -> meet(usual, v)));
        return met;
    }

    /** The meet of two sets, the older first; where both have a name, the newer note. */
    Map<String, String> meetNames(Map<String, String> older, Map<String, String> newer) {
        Map<String, String> met = new TreeMap<>(older);
        if (meet == Meet.UNION) {
            met.putAll(newer);
        } else if (meet == Meet.COMMON) {
            met.keySet().retainAll(newer.keySet());
        }
        return met;
    }
}
