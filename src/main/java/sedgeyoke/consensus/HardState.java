package sedgeyoke.consensus;

import java.util.List;
import java.util.Map;

/**
 * What a replica has to keep on disk beside its log (Raft thesis, section 3.8).
 *
 * @param term the newest term that it knows
 * @param votedFor the candidate that it voted for in that term; empty if none, {@link #UNKNOWN_VOTE} if it cannot know
 * @param incarnations its own incarnations, newest first
 * @param knownPeers what it knows of the identity of the other replicas, by name
 * @param intact whether, when this was written, it had no reason to think that it had lost something
 */
public record HardState(
        long term, String votedFor, List<Long> incarnations, Map<String, KnownPeer> knownPeers, boolean intact) {
    /** A vote that may have been granted to anyone. */
    public static final String UNKNOWN_VOTE = "?";
    /** How many incarnations are kept. A peer that was away for more of them takes the replica for an old copy. */
    static final int MAX_INCARNATIONS = 32;

    /** The storage id of another replica, and its latest known incarnation; 0 if none is known. */
    public record KnownPeer(long storageId, long incarnation) {}
}
