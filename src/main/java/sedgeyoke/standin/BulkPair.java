package sedgeyoke.standin;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import sedgeyoke.model.RequestClassModel;

/**
 * An exchange of a long request and a long response between a client and a node, with its outcome. One side is slow: it
 * sends and reads at an even rate, while the other is as fast as possible. The fields of the outcome are written by the
 * loops of both sides and read after the end.
 */
public final class BulkPair {
    /** Which side is slow. */
    public enum Pace {
        /** The client sends and reads slowly. */
        SLOW_CLIENT,
        /** The node reads and sends slowly. */
        SLOW_NODE,
        /** Neither. */
        NONE
    }

    /** The end of the exchange, as the client saw it. */
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

    /** What kernel buffers may hold of a request that a slow node does not read. */
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
    /** How long each direction takes at the slow side's rate. */
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

    /** The same exchange under another id, for a retry. */
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
     * Bytes a second at which a side sends or reads a body; 0 for as fast as possible. A node does not read a body
     * slowly that fits into kernel buffers: the balancer would have transferred all of it before.
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

    /** Whether it had an effect twice; nodes drop repeats of a request with an idempotency key. */
    public boolean ranTwice() {
        return executions.get() > 1 && !requestClass.keyed();
    }

    /** The length of both bodies. */
    public long bytes() {
        return upLength + downLength;
    }

    /** The time from its start to its end. */
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
