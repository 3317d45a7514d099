package sedgeyoke.consensus.server;

import java.util.List;
import sedgeyoke.consensus.Member;

/**
 * Status of one config server, as that server reports it.
 *
 * @param name its name
 * @param role its Raft role in lower case
 * @param term its current term
 * @param leader name of the leader that it knows; empty if it knows none
 * @param commitIndex index of the last entry that it knows to be committed
 * @param lastIndex index of its last log entry
 * @param recovered whether it counts towards quorums
 * @param suspectedLoss why it may have lost data; empty if there is no reason to suspect that
 * @param voters the members that vote
 * @param learner the member that is catching up to become a voter; null if there is none
 * @param activeVersion number of the active version
 * @param pendingVersion number of the version that is to be activated; 0 if there is none
 * @param leaseHolders number of balancers that may hold a lease; 0 unless it is the leader
 * @param subscribers number of balancers connected to it
 * @param contradictionBoundMillis longest time for which balancers may use versions that contradict each other
 * @param activationBoundMillis longest time until a committed version is active on all balancers
 * @param storageId random id of its storage directory
 */
public record ServerStatus(
        String name,
        String role,
        long term,
        String leader,
        long commitIndex,
        long lastIndex,
        boolean recovered,
        String suspectedLoss,
        List<Member> voters,
        Member learner,
        long activeVersion,
        long pendingVersion,
        int leaseHolders,
        int subscribers,
        long contradictionBoundMillis,
        long activationBoundMillis,
        long storageId) {}
