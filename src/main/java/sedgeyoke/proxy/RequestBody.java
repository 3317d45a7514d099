package sedgeyoke.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import sedgeyoke.body.PartialRequestPolicy;

/**
 * The body of a request between its client and an attempt, of whatever protocol. A short one is gathered whole and can
 * be sent again. Of a long one so much is gathered as may be held; the rest is left with the client until an attempt
 * takes it, and what the attempt has taken is kept no longer.
 */
final class RequestBody {
    private final Source source;
    private final int most;
    private final BodyAccumulator kept;
    private final ReadOverflowBuffer rest = new ReadOverflowBuffer();
    private boolean ended;
    private boolean streams;
    private boolean gone;
    private boolean aborted;
    private boolean finished;
    /** The sink has asked for a pause. */
    private boolean paused;

    private Sink sink;

    /** The client's side: whether to read on. */
    interface Source {
        void read(boolean on);
    }

    /** The upstream's side. */
    interface Sink {
        /** Takes over a part; false asks for a pause until {@link RequestBody#demand}. */
        boolean part(ByteBuf data);

        /** The last byte was passed on. */
        void end();

        /** There will be no more of it: the last byte must never go out. */
        void abort();
    }

    /** {@code most} is gathered before it has to go on in parts. */
    RequestBody(Source source, int most) {
        this.source = source;
        this.most = most;
        this.kept = new BodyAccumulator(most);
    }

    // ---- From the client -----------------------------------------------------------------------------

    /** A part has come; it is taken over. True if from now on the body goes on in parts. */
    boolean add(ByteBuf part) {
        if (!part.isReadable()) {
            part.release();
            return false;
        }
        if (!streams && kept.size() + part.readableBytes() <= most) {
            kept.add(part);
            part.release();
            return false;
        }
        boolean begins = !streams;
        streams = true;
        if (sink == null || paused || !rest.isEmpty()) {
            hold(part);
            source.read(false);
        } else {
            pass(part);
        }
        return begins;
    }

    /** True if the sink wants more. */
    private boolean pass(ByteBuf part) {
        paused = true; // until it says otherwise: from within, it may do so before it returns
        if (sink.part(part)) {
            paused = false;
        } else if (paused) {
            source.read(false);
        }
        return !paused;
    }

    /** One read's worth that came before the pause took hold. */
    private void hold(ByteBuf part) {
        if (aborted || gone && sink == null) {
            part.release(); // nobody will ever take it
        } else {
            rest.add(part);
        }
    }

    /** The last byte has come. */
    void end() {
        ended = true;
        if (streams && sink != null && rest.isEmpty()) {
            finish();
        }
    }

    /** Guards against a second end: the sink may ask for more while its last byte is on its way. */
    private void finish() {
        if (!finished) {
            finished = true;
            sink.end();
        }
    }

    /** The client is gone or sends nonsense: what has begun must never get its last byte. */
    void abort() {
        aborted = true;
        rest.release();
        if (sink != null && !ended) {
            Sink to = sink;
            sink = null;
            to.abort();
        }
    }

    // ---- To an attempt -------------------------------------------------------------------------------

    boolean streams() {
        return streams;
    }

    boolean ended() {
        return ended;
    }

    /** Whether all of it has gone on to an attempt. */
    boolean finished() {
        return finished;
    }

    /** Bytes of it that are held here. */
    int held() {
        return kept.size() + rest.size();
    }

    /** The whole body, where it is whole. */
    byte[] bytes() {
        return kept.bytes();
    }

    /** How far it got; {@code written} says whether an attempt has had its last byte. */
    PartialRequestPolicy.Body state(boolean written) {
        if (gone) {
            return written ? PartialRequestPolicy.Body.ALL_GONE : PartialRequestPolicy.Body.PART_GONE;
        }
        return ended && !streams ? PartialRequestPolicy.Body.WHOLE : PartialRequestPolicy.Body.HELD;
    }

    /** Passes on what is held and then whatever comes; what was passed on is not kept. Once only. */
    void streamTo(Sink to) {
        gone = true;
        sink = to;
        if (pass(Unpooled.wrappedBuffer(kept.take()))) {
            demand();
        }
    }

    /** The sink has room again. */
    void demand() {
        if (sink == null) {
            return;
        }
        paused = false;
        if (!rest.isEmpty() && !pass(rest.take())) {
            return;
        }
        if (ended) {
            finish();
        } else {
            source.read(true);
        }
    }

    /** The attempt is over: what still comes is for nobody. */
    void detach(Sink from) {
        if (sink == from) {
            sink = null;
            rest.release();
            source.read(true);
        }
    }
}
