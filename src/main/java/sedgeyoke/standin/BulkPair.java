package sedgeyoke.standin;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import sedgeyoke.model.RequestClassModel;

/**
 * An exchange of a long request and a long response between a client and a node, with its outcome. The slow side, if
 * any, sends and reads at an even rate, the other as fast as possible. The event loops of both sides write the outcome
 * fields, which are to be read after the exchange has ended.
 */
public final class BulkPair {
    /** Which side sends and reads slowly. */
    public enum Pace {
        /** The client sends and reads slowly. */
        SLOW_CLIENT,
        /** The node reads and sends slowly. */
        SLOW_NODE,
        /** Neither side is slow. */
        NONE
    }

    /** How the exchange ended, as the client saw it. */
    public enum End {
        /** It has not ended. */
        OPEN,
        /** A complete response with status 200. */
        COMPLETE,
        /** Status 429 or 503. */
        REJECTED,
        /** Any other status. */
        FAILED,
        /** The connection was closed before the end of the response. */
        CUT
    }

    /** The most bytes of a request that kernel buffers may hold while a slow node does not read. */
    private static final long KERNEL_BUFFER_BYTES = 256 << 10;

    private static final int MAX_OFFSET = 1 << 20;

    final String id;
    final RequestClassModel requestClass;
    final Pace pace;
    final long upLength;
    final long downLength;
    final int upOffset;
    final int downOffset;
    final boolean chunkedUp;
    final boolean chunkedDown;
    /** How long the transfer of one body takes at the slow side's rate. */
    final long directionMs;

    volatile byte[] upSent;
    volatile byte[] upArrived;
    volatile byte[] downSent;
    volatile byte[] downArrived;
    final AtomicInteger executions = new AtomicInteger();
    volatile End end = End.OPEN;
    volatile long startNanos;
    volatile long endNanos;

    private BulkPair(
            String id,
            RequestClassModel cls,
            Pace pace,
            long upLength,
            long downLength,
            long directionMs,
            SplittableRandom random) {
        this.id = id;
        this.requestClass = cls;
        this.pace = pace;
        this.upLength = upLength;
        this.downLength = downLength;
        this.directionMs = directionMs;
        this.upOffset = random.nextInt(MAX_OFFSET);
        this.downOffset = random.nextInt(MAX_OFFSET);
        this.chunkedUp = random.nextBoolean();
        this.chunkedDown = random.nextBoolean();
    }

    /** Draws an exchange with log-uniform lengths of both bodies. */
    public static BulkPair draw(
            String id,
            RequestClassModel cls,
            Pace pace,
            long minBytes,
            long maxBytes,
            long directionMs,
            SplittableRandom random) {
        return new BulkPair(
                id,
                cls,
                pace,
                length(minBytes, maxBytes, random),
                length(minBytes, maxBytes, random),
                directionMs,
                random);
    }

    /** A copy of this exchange with another id, for a retry. */
    public BulkPair withId(String newId) {
        return new BulkPair(newId, this);
    }

    private BulkPair(String id, BulkPair original) {
        this.id = id;
        this.requestClass = original.requestClass;
        this.pace = original.pace;
        this.upLength = original.upLength;
        this.downLength = original.downLength;
        this.directionMs = original.directionMs;
        this.upOffset = original.upOffset;
        this.downOffset = original.downOffset;
        this.chunkedUp = original.chunkedUp;
        this.chunkedDown = original.chunkedDown;
    }

    private static long length(long minBytes, long maxBytes, SplittableRandom random) {
        return Math.round(minBytes * Math.exp(random.nextDouble() * Math.log(maxBytes / (double) minBytes)));
    }

    /**
     * The rate, in bytes per second, at which a side sends or reads a body; 0 for as fast as possible. A slow node
     * reads a body that fits into kernel buffers at full speed, as the balancer would already have sent all of it.
     */
    double rate(long length, boolean client, boolean sends) {
        boolean slow = pace == (client ? Pace.SLOW_CLIENT : Pace.SLOW_NODE)
                && (client || sends || length > KERNEL_BUFFER_BYTES);
        return slow ? length * 1e3 / directionMs : 0;
    }

    /** The value of {@code X-Call-Id}. */
    public String id() {
        return id;
    }

    /** The end of the exchange. */
    public End end() {
        return end;
    }

    /** Whether the request had an effect twice; nodes drop repeats of a request with an idempotency key. */
    public boolean ranTwice() {
        return executions.get() > 1 && !requestClass.keyed();
    }

    /** The length of both bodies. */
    public long bytes() {
        return upLength + downLength;
    }

    /** The time from the start of the exchange to its end, in milliseconds. */
    public double tookMs() {
        return (endNanos - startNanos) / 1e6;
    }

    /** Whether both bodies of a complete exchange arrived as they were sent. */
    public boolean digestsMatch() {
        return Arrays.equals(upSent, upArrived)
                && Arrays.equals(downSent, downArrived)
                && upSent != null
                && downSent != null;
    }
}
