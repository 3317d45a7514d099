package sedgeyoke.standin;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import sedgeyoke.model.RequestClassModel;

/**
 * A client and a node that exchange a long request and a long answer, and what became of these. One side sets the pace:
 * it sends and reads evenly over a time, while the other is as fast as it can. Fields of the outcome are written by the
 * loops of both sides and read when all is over.
 */
public final class BulkPair {
    /** Shape of an exchange. */
    public enum Pace {
        /** The client trickles; the node is fast. */
        SLOW_CLIENT,
        /** The node trickles; the client is fast. */
        SLOW_NODE,
        /** Nobody waits for anybody. */
        NONE
    }

    /** How it ended, as the client saw it. */
    public enum End {
        /** Still on its way. */
        OPEN,
        /** Answered with 200, and whole. */
        COMPLETE,
        /** 429 or 503. */
        REJECTED,
        /** Any other answer. */
        FAILED,
        /** The connection ended before the answer did. */
        CUT
    }

    private static final long BUFFERED = 256 << 10;

    final String id;
    final RequestClassModel cls;
    final Pace pace;
    final long upLength;
    final long downLength;
    final int upOffset;
    final int downOffset;
    final boolean chunkedUp;
    final boolean chunkedDown;
    /** How long each direction takes at its pace, in milliseconds. */
    final long wayMs;

    volatile byte[] upSent;
    volatile byte[] upArrived;
    volatile byte[] downSent;
    volatile byte[] downArrived;
    final AtomicInteger executions = new AtomicInteger();
    volatile End end = End.OPEN;
    volatile long startedNanos;
    volatile long endedNanos;

    private BulkPair(
            String id,
            RequestClassModel cls,
            Pace pace,
            long upLength,
            long downLength,
            long wayMs,
            SplittableRandom random) {
        this.id = id;
        this.cls = cls;
        this.pace = pace;
        this.upLength = upLength;
        this.downLength = downLength;
        this.wayMs = wayMs;
        this.upOffset = random.nextInt(1 << 20);
        this.downOffset = random.nextInt(1 << 20);
        this.chunkedUp = random.nextBoolean();
        this.chunkedDown = random.nextBoolean();
    }

    /** A pair with lengths from {@code least} to {@code most} bytes, evenly in their logarithms. */
    public static BulkPair draw(
            String id, RequestClassModel cls, Pace pace, long least, long most, long wayMs, SplittableRandom random) {
        return new BulkPair(id, cls, pace, length(least, most, random), length(least, most, random), wayMs, random);
    }

    /** The same exchange under another id, as a client asks again for what was refused. */
    public BulkPair withId(String anotherId) {
        return new BulkPair(anotherId, this);
    }

    private BulkPair(String id, BulkPair of) {
        this.id = id;
        this.cls = of.cls;
        this.pace = of.pace;
        this.upLength = of.upLength;
        this.downLength = of.downLength;
        this.wayMs = of.wayMs;
        this.upOffset = of.upOffset;
        this.downOffset = of.downOffset;
        this.chunkedUp = of.chunkedUp;
        this.chunkedDown = of.chunkedDown;
    }

    private static long length(long least, long most, SplittableRandom random) {
        return Math.round(least * Math.exp(random.nextDouble() * Math.log(most / (double) least)));
    }

    /**
     * Bytes a second at which a side sends or reads that many; 0 for as fast as it can. What fits into the kernel's
     * buffers has reached a node before it could be slow in reading; one that takes its time from there on is slow in
     * its work, and no transfer.
     */
    double rate(long length, boolean client, boolean sends) {
        boolean slow = pace == (client ? Pace.SLOW_CLIENT : Pace.SLOW_NODE) && (client || sends || length > BUFFERED);
        return slow ? length * 1e3 / wayMs : 0;
    }

    /** As in {@code X-Call-Id}. */
    public String id() {
        return id;
    }

    /** How it ended. */
    public End end() {
        return end;
    }

    /** Whether it had an effect twice: repeats of a keyed request are dropped by nodes, and count for none. */
    public boolean ranTwice() {
        return executions.get() > 1 && !cls.keyed();
    }

    /** Bytes of both bodies. */
    public long bytes() {
        return upLength + downLength;
    }

    /** From its start until its end, in milliseconds. */
    public double tookMs() {
        return (endedNanos - startedNanos) / 1e6;
    }

    /** Whether both bodies arrived as they were sent; asked of complete ones. */
    public boolean digestsMatch() {
        return Arrays.equals(upSent, upArrived)
                && Arrays.equals(downSent, downArrived)
                && upSent != null
                && downSent != null;
    }
}
