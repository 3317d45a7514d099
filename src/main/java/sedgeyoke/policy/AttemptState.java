package sedgeyoke.policy;

/** One attempt of a request at one upstream. */
final class AttemptState {
    final UpstreamState upstream;
    final long sentAtMicros;
    /** Whether it took the last of its upstream's in-flight limit, which may grow only then. */
    boolean sentAtLimit;

    boolean outstanding = true;
    /** Whether its upstream may have run it or may still run it. */
    boolean mayHaveRun = true;

    boolean streaming;
    boolean transfer;

    AttemptState(UpstreamState upstream, long sentAtMicros) {
        this.upstream = upstream;
        this.sentAtMicros = sentAtMicros;
    }
}
