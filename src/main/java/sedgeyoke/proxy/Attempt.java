package sedgeyoke.proxy;

import io.netty.util.concurrent.Future;

/** One attempt of a call at an upstream. It ends once, whatever happens first; see {@link ProxyCore#ended}. */
final class Attempt {
    final Exchange call;
    final int number;
    final String upstream;
    final long startedAt;
    /** When we stop waiting, on the module's clock. */
    final long until;
    /** From then on upstreams may have forgotten an earlier attempt that may have run: nothing may go out. */
    final long repeatUntil;
    /** Set while the request is on a connection. */
    UpstreamConnectionPool.Connection connection;
    /** Whether the last byte was handed to the kernel: from then on the request may have run. */
    boolean written;

    boolean ended;
    /** Whether it was put off until a loop that was late has read what had come. */
    boolean readFirst;
    /** Since when the upstream has had the whole request: its start, or the last byte of a long body. */
    long askedAt;
    /** When the first part of a long or slow answer was here; 0 for none. */
    long answeringSince;
    /** Whether its answer is being passed on. */
    boolean begun;
    /** Until the end proves the opposite. */
    boolean mayHaveRun = true;
    /** Ends the attempt at a time-out of its own; null if it may wait as long as the call. */
    Future<?> timeout;

    Attempt(Exchange call, int number, String upstream, long startedAt, long until, long repeatUntil) {
        this.call = call;
        this.number = number;
        this.upstream = upstream;
        this.startedAt = startedAt;
        this.askedAt = startedAt;
        this.until = until;
        this.repeatUntil = repeatUntil;
    }
}
