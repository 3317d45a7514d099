package sedgeyoke.consensus;

/** What a leader knows about the log of one other replica, and about the messages in flight to it. */
final class ReplicationProgress {
    /** The index of the next entry to send. */
    long nextIndex;
    /** The index of the last entry that the replica is known to have on disk. */
    long matchIndex;
    /** The replica's incarnation, 0 while it is not known; acknowledgements of other incarnations are ignored. */
    long incarnation;
    /** Whether the replica counts towards a quorum, as it has all that it ever acknowledged. */
    boolean recovered;
    /** When the follower's latest response arrived. */
    long lastContactAtMicros;
    /** The newest heartbeat round that it has echoed. */
    long confirmedRound;
    /** Until when sent entries are assumed to be in flight; no more are sent before. */
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

    /** Called when the replica has restarted: entries that an earlier incarnation acknowledged may be lost. */
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
