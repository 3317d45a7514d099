package sedgeyoke.consensus;

import java.util.List;
import java.util.Map;

/**
 * What a keeper must never lose beside its log.
 *
 * @param term the newest that it knows
 * @param vote whom it has voted for in that term; empty if nobody, {@link #UNKNOWN} if it cannot know
 * @param runs its own runs, newest first
 * @param known others as it has heard from them: with which folder, and which run
 * @param sound whether it had no doubt that it had lost nothing when this was written
 */
public record HardState(long term, String vote, List<Long> runs, Map<String, Known> known, boolean sound) {
    /** A vote that may have been given to anyone. */
    public static final String UNKNOWN = "?";
    /** Runs that are remembered; a peer that was away for longer takes the keeper for one of the past. */
    static final int MOST_RUNS = 32;

    /** Another keeper: its folder, and the run that was heard of last; 0 if none was. */
    public record Known(long folder, long run) {}
}
