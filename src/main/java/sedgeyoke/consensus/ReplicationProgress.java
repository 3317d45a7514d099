package sedgeyoke.consensus;

/** What a leader knows of another keeper. */
final class ReplicationProgress {
    /** The next entry to send, and the last one that is known to be there. */
    long nextIndex;

    long matchIndex;
    /** Its run, as it said itself; 0 while it has not said. What another run had is not counted. */
    long incarnation;
    /** Whether it counts: it has lost nothing that it promised. */
    boolean recovered;
    /** When it was heard of, and the newest round that it has echoed. */
    long lastContactAt;

    long confirmedRound;
    /** Entries are under way until then; so long no more are sent. */
    long inFlightUntil;
    /** How much of a snapshot is there, and of which. */
    long chunkOffset;

    long chunkSnapshotIndex;

    ReplicationProgress(long next, long run, long now) {
        this.nextIndex = next;
        this.incarnation = run;
        this.lastContactAt = now;
    }
}
