package sedgeyoke.consensus;

import java.util.HashMap;
import java.util.Map;

/**
 * Changes the membership, one member at a time (Raft thesis, chapter 4). A new replica joins as a learner and
 * becomes a voter once its log has caught up.
 */
final class MembershipChange {
    private final ReplicaState state;
    private final Outbox outbox;
    private final LogReplication replication;
    private final RoleTransitions roles;

    MembershipChange(ReplicaState state, Outbox outbox, LogReplication replication, RoleTransitions roles) {
        this.state = state;
        this.outbox = outbox;
        this.replication = replication;
        this.roles = roles;
    }

    /** Why a replica cannot be added now; null if it can. */
    String rejection(ClientRequest.AddMember request) {
        Membership membership = state.membership;
        String name = request.member().name();
        if (isChangePending()) {
            return "an earlier membership change is not committed yet";
        } else if (membership.member(name) != null) {
            return name + " is a member already; remove it first";
        } else if (membership.learner() != null) {
            return membership.learner().name() + " is still catching up";
        } else if (membership.voters().size() >= Membership.MAX_VOTERS) {
            return "at most " + Membership.MAX_VOTERS + " voters are possible";
        }
        return null;
    }

    /** Why a replica cannot be removed now; null if it can. */
    String rejection(ClientRequest.RemoveMember request) {
        Membership membership = state.membership;
        Member removed = membership.member(request.name());
        if (isChangePending()) {
            return "an earlier membership change is not committed yet";
        } else if (removed == null || (request.storageId() != 0 && request.storageId() != removed.storageId())) {
            return request.name() + " with that storage id is not a member";
        } else if (membership.voters().size() == 1 && membership.voters().containsKey(request.name())) {
            return "the last voter cannot be removed";
        }
        return null;
    }

    private boolean isChangePending() {
        return !state.rules.mayChangeMembership(state.membership, state.stateMachine.membership());
    }

    /** Appends the addition of a learner; returns the index of the entry. */
    long add(Member member) {
        return replication.append(new Command.ChangeMembership(state.membership.withLearner(member)));
    }

    /** Appends the removal of a member; returns the index of the entry. */
    long remove(String name) {
        return replication.append(new Command.ChangeMembership(state.membership.withoutMember(name)));
    }

    /** On the leader: promotes a learner that has caught up; otherwise records storage ids that have become known. */
    void proposePending() {
        if (!replication.hasCommittedInTerm() || isChangePending()) {
            return;
        }
        if (hasLearnerCaughtUp()) {
            replication.append(new Command.ChangeMembership(state.membership.promoted()));
            return;
        }
        Map<String, Long> storageIds = new HashMap<>();
        state.knownPeers.forEach((peer, known) -> storageIds.put(peer, known.storageId()));
        storageIds.put(state.name, state.storageId);
        Membership completed = state.membership.withStorageIds(storageIds);
        boolean allKnown = completed.voters().values().stream().allMatch(voter -> voter.storageId() != 0);
        if (allKnown && !completed.equals(state.membership)) {
            replication.append(new Command.ChangeMembership(completed));
        }
    }

    private boolean hasLearnerCaughtUp() {
        Member learner = state.membership.learner();
        ReplicationProgress progress =
                learner == null ? null : replication.peers().get(learner.name());
        return progress != null
                && progress.recovered
                && progress.matchIndex >= state.commitIndex
                && progress.matchIndex > 0;
    }

    /** Called on the leader when a membership is committed: stops replication to former members. */
    void committed() {
        replication.removeFormerMembers();
        state.knownPeers.keySet().removeIf(peer -> state.membership.member(peer) == null);
        if (state.membership.member(state.name) == null) {
            outbox.log("is no longer a member");
            roles.becomeFollower(state.term, null);
        }
    }
}
