package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The members of the Raft cluster. Voters form quorums; a learner receives the log but does not count towards a quorum
 * before it has caught up and become a voter. Only one member changes at a time, so that any majority of one membership
 * overlaps with any majority of the next (Raft thesis, section 4.1).
 *
 * @param voters by name
 * @param learner the member that is being added; null if there is none
 */
public record Membership(Map<String, Member> voters, Member learner) {
    /** The largest number of voters. More would only make each commit slower. */
    public static final int MAX_VOTERS = 7;

    /** Copies the voters. */
    public Membership {
        voters = Collections.unmodifiableMap(new TreeMap<>(voters));
    }

    /** The membership that a cluster is bootstrapped with. */
    public static Membership of(List<Member> initialMembers) {
        Map<String, Member> voters = new TreeMap<>();
        initialMembers.forEach(member -> voters.put(member.name(), member));
        return new Membership(voters, null);
    }

    /** The member with this name, voter or learner; null if there is none. */
    public Member member(String name) {
        return isLearner(name) ? learner : voters.get(name);
    }

    private boolean isLearner(String name) {
        return learner != null && learner.name().equals(name);
    }

    /** The names of all members except {@code self}. */
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

    /** The membership in which the learner has become a voter. */
    Membership promoted() {
        Map<String, Member> extended = new TreeMap<>(voters);
        extended.put(learner.name(), learner);
        return new Membership(extended, null);
    }

    Membership withoutMember(String name) {
        Map<String, Member> remaining = new TreeMap<>(voters);
        remaining.remove(name);
        return new Membership(remaining, isLearner(name) ? null : learner);
    }

    /** Adds storage ids, given by name, to voters whose storage id was not known when the cluster was bootstrapped. */
    Membership withStorageIds(Map<String, Long> storageIds) {
        Map<String, Member> completed = new TreeMap<>(voters);
        completed.replaceAll((name, member) -> member.storageId() != 0
                ? member
                : new Member(name, storageIds.getOrDefault(name, 0L), member.address()));
        return new Membership(completed, learner);
    }
}
