package sedgeyoke.consensus;

import java.util.List;
import java.util.Map;

/**
 * The state that a replica has to keep on disk in addition to its log (Raft thesis, section 3.8).
 *
 * @param term the newest term that it knows
 * @param votedFor the candidate that it voted for in that term; empty if none, {@link #UNKNOWN_VOTE} if it cannot know
 * @param incarnations its incarnations, newest first: a random id for each start of its process
 * @param knownPeers the identities of the other replicas, as far as it knows them, by name
 * @param intact whether the replica, when this was written, had no reason to suspect that its disk had lost data
 */
public record HardState(
        long term, String votedFor, List<Long> incarnations, Map<String, KnownPeer> knownPeers, boolean intact) {
    /** The value of {@code votedFor} when the replica may have voted for any candidate. */
    public static final String UNKNOWN_VOTE = "?";
    /** How many incarnations are kept. A peer that has missed more assumes that the replica's disk is an old copy. */
    static final int MAX_INCARNATIONS = 32;

    /** The storage id of another replica, and its latest known incarnation; 0 if none is known. */
    public record KnownPeer(long storageId, long incarnation) {}
}
