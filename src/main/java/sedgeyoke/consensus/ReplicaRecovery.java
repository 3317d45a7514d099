package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a keeper that has just started may vote and be counted. It may once enough others have not contradicted what
 * its disk remembers of itself. One whose disk may have lost what it promised, because part of it is damaged, because
 * the machine went down and forces may have been lies, or because others remember a run that the disk does not, is in
 * doubt: it decides nothing until it has learned from the others whatever it may have promised (the argument is that of
 * recovery in Viewstamped Replication, and stands in docs/design/agreement.md).
 */
final class ReplicaRecovery {
    private static final int NUMBERS_OF_A_RUN = 16;

    private final SafetyRules rules;
    private final long startedAt;
    private final Map<String, RaftMessage.RecoveryReply> replies = new HashMap<>();
    private final Set<Long> knownRuns = new LinkedHashSet<>();
    private String doubt;
    private boolean lost;
    private boolean sound;
    private boolean settled;
    /** Of the question that is asked; unlike that of any other run, whose answers may be late. */
    private long number;

    private boolean waited;
    private long askedAt;

    /**
     * {@code run}: drawn at its start; {@code doubt}: why what is on disk may not be all, or null; {@code lost}: that
     * some of it surely is gone.
     */
    ReplicaRecovery(SafetyRules rules, long run, String doubt, boolean lost, long now) {
        this.rules = rules;
        this.number = run << NUMBERS_OF_A_RUN;
        this.startedAt = now;
        this.doubt = doubt;
        this.lost = lost;
        this.askedAt = now - rules.timing().electionTimeoutMicros();
    }

    /** Nothing that it ever promised is missing. */
    boolean sound() {
        return sound;
    }

    /** Why it is in doubt; null if it is not. */
    String doubt() {
        return doubt;
    }

    boolean lost() {
        return lost;
    }

    /** Whether it may vote. In doubt it may where every keeper is heard of and too few of them are sound. */
    boolean mayVote(Membership members, String self) {
        return sound || unanimous(members, self);
    }

    /**
     * Whether all keepers of the tier have answered, too few of them sound to decide alone, and no more of them have
     * surely lost something than a minority: then the best log of all has all that was ever committed.
     */
    boolean unanimous(Membership members, String self) {
        if (sound || !waited || !members.voters().containsKey(self)) {
            return false;
        }
        List<RaftMessage.RecoveryReply> others = voters(members, self);
        long bad = others.stream().filter(RaftMessage.RecoveryReply::dataLost).count() + (lost ? 1 : 0);
        return others.size() == members.voters().size() - 1
                && bad < rules.majority(members.voters().size());
    }

    private List<RaftMessage.RecoveryReply> voters(Membership members, String self) {
        return replies.entrySet().stream()
                .filter(e -> !e.getKey().equals(self) && members.voters().containsKey(e.getKey()))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Whether it is time to ask the others again. */
    boolean shouldAsk(long now) {
        if (doubt != null && !waited && now - startedAt >= rules.recoveryWaitMicros()) {
            waited = true; // answers of before say nothing of votes that were still under way
            number++;
            replies.clear();
            askedAt = now - rules.timing().electionTimeoutMicros();
        }
        boolean due = now - askedAt >= 2 * rules.timing().heartbeatMicros();
        if (due) {
            askedAt = now;
        }
        return due;
    }

    /** The number of the question that answers are waited for. */
    long number() {
        return number;
    }

    /** An answer; true if it is news that this keeper is of the past. */
    boolean answered(String from, RaftMessage.RecoveryReply reply) {
        if (reply.queryId() != number) {
            return false;
        }
        replies.put(from, reply);
        knownRuns.add(reply.knownIncarnation());
        if (reply.outdated() && doubt == null && !sound) {
            doubt = from + " remembers a later run than this folder does: it is an old copy";
            replies.clear();
            number++;
            return true;
        }
        return false;
    }

    /** The runs of this keeper that others have told of: what was lost with them is made up for. */
    Set<Long> knownRuns() {
        return knownRuns;
    }

    /** The highest term that others have told of. */
    long highestTerm() {
        return replies.values().stream()
                .mapToLong(RaftMessage.RecoveryReply::term)
                .max()
                .orElse(0);
    }

    /** How far the log has to match a leader's of this term; -1 while that leader has not answered. */
    long target(String leader, long term) {
        RaftMessage.RecoveryReply reply = leader == null ? null : replies.get(leader);
        return reply == null || !reply.isLeader() || reply.term() != term ? -1 : reply.lastIndex();
    }

    /** Whether what others know is known well enough for their term to be taken over. True once only. */
    boolean settles(Membership members, String self) {
        if (doubt == null || settled || !enough(members, self)) {
            return false;
        }
        settled = true;
        return true;
    }

    /** Whether so many have answered that whatever was committed, and whoever may have been voted for, is known. */
    private boolean enough(Membership members, String self) {
        long others = voters(members, self).stream()
                .filter(RaftMessage.RecoveryReply::recovered)
                .count();
        return waited && (others >= rules.majority(members.voters().size()) || unanimous(members, self));
    }

    /**
     * Whether it is sound from now on. {@code matched}: up to where its log is that of the present leader; -1 if there
     * is none.
     */
    boolean becomesSound(Membership members, String self, String leader, long term, long matched) {
        if (sound) {
            return false;
        }
        if (doubt == null) {
            sound = !members.voters().containsKey(self)
                    || voters(members, self).size()
                            >= rules.majority(members.voters().size()) - 1;
        } else if (leader != null && leader.equals(self)) {
            sound = true; // all have voted for it: nobody has more
        } else if (settled && enough(members, self)) {
            long target = target(leader, term);
            sound = target >= 0 && matched >= rules.recoveryTarget(target);
        }
        if (sound) {
            doubt = null;
            lost = false;
        }
        return sound;
    }
}
