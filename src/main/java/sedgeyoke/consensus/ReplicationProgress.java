package sedgeyoke.consensus;

/** What a leader knows of another keeper. */
final class ReplicationProgress {
    /** The next entry to send, and the last one that is known to be there. */
    long next;

    long match;
    /** Its run, as it said itself; 0 while it has not said. What another run had is not counted. */
    long run;
    /** Whether it counts: it has lost nothing that it promised. */
    boolean sound;
    /** When it was heard of, and the newest round that it has echoed. */
    long heardAt;

    long round;
    /** Entries are under way until then; so long no more are sent. */
    long busyUntil;
    /** How much of a snapshot is there, and of which. */
    long offset;

    long offsetOf;

    ReplicationProgress(long next, long run, long now) {
        this.next = next;
        this.run = run;
        this.heardAt = now;
    }
}
