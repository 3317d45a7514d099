package sedgeyoke.consensus;

import java.util.List;
import java.util.Map;

/**
 * What a keeper must never lose beside its log.
 *
 * @param term the newest that it knows
 * @param votedFor whom it has voted for in that term; empty if nobody, {@link #UNKNOWN_VOTE} if it cannot know
 * @param incarnations its own runs, newest first
 * @param knownPeers others as it has heard from them: with which folder, and which run
 * @param intact whether it had no doubt that it had lost nothing when this was written
 */
public record HardState(
        long term, String votedFor, List<Long> incarnations, Map<String, KnownPeer> knownPeers, boolean intact) {
    /** A vote that may have been given to anyone. */
    public static final String UNKNOWN_VOTE = "?";
    /** Runs that are remembered; a peer that was away for longer takes the keeper for one of the past. */
    static final int MAX_INCARNATIONS = 32;

    /** Another keeper: its folder, and the run that was heard of last; 0 if none was. */
    public record KnownPeer(long storageId, long incarnation) {}
}
