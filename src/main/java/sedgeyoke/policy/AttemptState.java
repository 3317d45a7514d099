package sedgeyoke.policy;

/** One attempt of a request at one upstream. */
final class AttemptState {
    final UpstreamState upstream;
    final long sentAtMicros;
    /** Whether the attempt used up its upstream's in-flight limit; only the success of such attempts raises it. */
    boolean sentAtLimit;

    boolean outstanding = true;
    /** Whether the upstream may have run the attempt or may still run it. */
    boolean mayHaveRun = true;

    boolean streaming;
    boolean transfer;

    AttemptState(UpstreamState upstream, long sentAtMicros) {
        this.upstream = upstream;
        this.sentAtMicros = sentAtMicros;
    }
}
