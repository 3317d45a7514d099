package sedgeyoke.consensus.server;

import java.util.List;
import sedgeyoke.consensus.Member;

/**
 * Status of one config server, as it reports it itself.
 *
 * @param name its name
 * @param role its Raft role in lower case
 * @param term its current term
 * @param leader name of the leader it knows; empty if none
 * @param commitIndex index of the last committed entry that it knows
 * @param lastIndex index of its last log entry
 * @param recovered whether it counts towards quorums
 * @param suspectedLoss why it may have lost data; empty if it has not
 * @param voters voting members
 * @param learner member that is about to become a voter, or null
 * @param activeVersion number of the version in force
 * @param pendingVersion number of the version that is to take effect; 0 if none
 * @param leaseHolders number of balancers with a lease, as the leader knows it
 * @param subscribers number of balancers connected to this server
 * @param contradictionBoundMillis longest time in which balancers may act on contradicting versions
 * @param activationBoundMillis longest time until a committed version is in force everywhere
 * @param storageId number of its storage directory
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
