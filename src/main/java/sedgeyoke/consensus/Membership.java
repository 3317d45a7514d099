package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The keepers of the tier. Voters decide; a learner is sent everything and counts for nothing, until it has caught up.
 * One keeper changes at a time, so that any two majorities of neighbouring sets have one keeper in common.
 *
 * @param voters by name
 * @param learner the one that is being added, or null
 */
public record Membership(Map<String, Member> voters, Member learner) {
    /** More would only make each decision slower. */
    public static final int MAX_VOTERS = 7;

    /** Copies what it is given. */
    public Membership {
        voters = java.util.Collections.unmodifiableMap(new TreeMap<>(voters));
    }

    /** The first set of a tier. */
    public static Membership of(List<Member> founders) {
        Map<String, Member> voters = new TreeMap<>();
        founders.forEach(m -> voters.put(m.name(), m));
        return new Membership(voters, null);
    }

    /** A member of that name, the learner included; null if there is none. */
    Member member(String name) {
        return learner != null && learner.name().equals(name) ? learner : voters.get(name);
    }

    /** All but one. */
    List<String> others(String self) {
        List<String> names = new ArrayList<>(voters.keySet());
        if (learner != null && !voters.containsKey(learner.name())) {
            names.add(learner.name());
        }
        names.remove(self);
        return names;
    }

    Membership withLearner(Member added) {
        return new Membership(voters, added);
    }

    /** The learner is a voter from now on. */
    Membership promoted() {
        Map<String, Member> more = new TreeMap<>(voters);
        more.put(learner.name(), learner);
        return new Membership(more, null);
    }

    Membership withoutMember(String name) {
        Map<String, Member> fewer = new TreeMap<>(voters);
        fewer.remove(name);
        return new Membership(fewer, learner != null && learner.name().equals(name) ? null : learner);
    }

    /** With what is known now of folders that were not known when the tier was founded. */
    Membership withStorageIds(Map<String, Long> folders) {
        Map<String, Member> known = new TreeMap<>(voters);
        known.replaceAll(
                (name, m) -> m.storageId() != 0 ? m : new Member(name, folders.getOrDefault(name, 0L), m.address()));
        return new Membership(known, learner);
    }
}
