package sedgeyoke.consensus;

/** What a leader knows of the log of one other replica, and of what it has sent to it. */
final class ReplicationProgress {
    /** The next entry to send. */
    long nextIndex;
    /** The last entry that the replica is known to have on disk. */
    long matchIndex;
    /** The replica's incarnation, 0 while it is not known; acknowledgements of other incarnations are ignored. */
    long incarnation;
    /** Whether the replica counts towards a quorum: it has lost nothing that it acknowledged. */
    boolean recovered;
    /** When its latest response arrived. */
    long lastContactAtMicros;
    /** The newest heartbeat round that it has echoed. */
    long confirmedRound;
    /** Until then entries are assumed to be in flight, and no more are sent. */
    long inFlightUntilMicros;
    /** The last index that the snapshot in transfer covers. */
    long snapshotIndex;
    /** How many bytes of that snapshot the replica has. */
    long snapshotOffset;

    ReplicationProgress(long nextIndex, long incarnation, long nowMicros) {
        this.nextIndex = nextIndex;
        this.incarnation = incarnation;
        this.lastContactAtMicros = nowMicros;
    }

    /** The replica has restarted: what an earlier incarnation acknowledged may be lost. */
    void restarted(long newIncarnation, long newNextIndex, long nowMicros) {
        incarnation = newIncarnation;
        matchIndex = 0;
        nextIndex = newNextIndex;
        recovered = false;
        confirmedRound = 0;
        inFlightUntilMicros = nowMicros;
    }

    boolean isInFlight(long nowMicros) {
        return nowMicros < inFlightUntilMicros;
    }
}
