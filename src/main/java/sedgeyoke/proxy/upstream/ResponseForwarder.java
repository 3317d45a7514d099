package sedgeyoke.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.Supplier;
import sedgeyoke.body.ResponseProgress;
import sedgeyoke.proxy.exchange.ReadOverflowBuffer;
import sedgeyoke.proxy.exchange.ResponseStream;

/**
 * Forwards a streamed response to the client part by part, and stops reading it while the client asks for a pause.
 * Handles the responses of one connection, one after the other. Event loop only.
 */
final class ResponseForwarder implements ResponseStream.Source {
    private final UpstreamConnection connection;
    private final UpstreamContext context;
    private final ResponseStallGuard stallGuard;
    private final Supplier<ResponseProgress> progress;
    /** What arrived after the client asked for a pause. */
    private final ReadOverflowBuffer overflow;

    private Channel channel;
    /** Receives the response; null while none is streamed. */
    private ResponseStream.Sink sink;
    /** Whether all of the response has been read. */
    private boolean complete;
    /** Whether the client asked for a pause. */
    private boolean paused;
    /** The memory that was held for the response when its streaming began. */
    private long heldBytes;

    /** {@code progress} returns how much of the response is known. */
    ResponseForwarder(
            UpstreamConnection connection,
            UpstreamContext context,
            ResponseStallGuard stallGuard,
            Supplier<ResponseProgress> progress) {
        this.connection = connection;
        this.context = context;
        this.stallGuard = stallGuard;
        this.progress = progress;
        this.overflow = new ReadOverflowBuffer(context.bodies().maxSocketReadBytes());
    }

    void attach(Channel connected) {
        channel = connected;
    }

    /**
     * Begins to stream a response to the client, for which {@code reservedBytes} are held; false if its exchange
     * already has a response.
     */
    boolean start(ResponseStream.Head head, long reservedBytes) {
        heldBytes = reservedBytes;
        sink = context.listener().responseStreaming(connection.currentAttempt(), head, this);
        return sink != null;
    }

    /** Whether a response is being streamed, or was streamed and {@link #clear} was not called since. */
    boolean isStreaming() {
        return sink != null;
    }

    boolean isComplete() {
        return complete;
    }

    /** Forwards a part, or buffers it until the client can take more; takes ownership of it. */
    void forward(ByteBuf part) {
        if (paused) {
            overflow.add(part);
        } else {
            paused = !sink.forward(part);
        }
        if (paused) {
            channel.config().setAutoRead(false);
        }
    }

    /**
     * Ends a response that has been read completely: forwards what is left, even during a pause, as nothing follows.
     */
    void end(HttpHeaders trailers) {
        complete = true;
        while (!overflow.isEmpty()) {
            sink.forward(overflow.take());
        }
        sink.end(trailers);
    }

    @Override
    public void demand() {
        stallGuard.recordRead();
        paused = false;
        while (sink != null && !paused && !overflow.isEmpty()) {
            forward(overflow.take());
        }
        if (!paused) {
            channel.config().setAutoRead(true);
        }
    }

    /** Reserves memory for the next read of up to {@code wantedBytes}; returns how many bytes may be read. */
    int reserveRead(int wantedBytes) {
        return sink.reserveRead(wantedBytes);
    }

    /** Called when the connection has no more to read for now. */
    void readCompleted() {
        if (sink != null) {
            sink.readCompleted();
        }
    }

    @Override
    public long heldBytes() {
        return heldBytes;
    }

    @Override
    public ResponseProgress progress() {
        return progress.get();
    }

    @Override
    public void cancel() {
        connection.cancel();
    }

    /** The receiver of a response that is being streamed and is not complete. */
    Optional<ResponseStream.Sink> incompleteSink() {
        return complete ? Optional.empty() : Optional.ofNullable(sink);
    }

    /** Discards all state of the current response. */
    void clear() {
        sink = null;
        complete = false;
        paused = false;
        overflow.release();
    }
}
