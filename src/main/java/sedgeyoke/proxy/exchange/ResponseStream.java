package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import sedgeyoke.body.ResponseProgress;

/** The interfaces of a response that is forwarded while it is received, independent of the protocol. */
public final class ResponseStream {
    private ResponseStream() {}

    /**
     * What is known about the response when it begins.
     *
     * @param contentType as the upstream sends it, or null
     * @param length of the body in bytes; negative if not known
     */
    public record Head(String contentType, long length) {}

    /** The upstream's side. */
    public interface Source {
        /** Requests more, as the client's side can take it. */
        void demand();

        /** The memory in bytes that is held for the response when it begins, including the read in progress. */
        long heldBytes();

        /** How much of the response is known. */
        ResponseProgress progress();

        /** Cancels the response, as the client has disconnected or reads too slowly. */
        void cancel();
    }

    /** The client's side. */
    public interface Sink {
        /** Forwards a part and takes ownership of it; false asks for a pause until {@link Source#demand}. */
        boolean forward(ByteBuf data);

        /**
         * Reserves memory for a read of up to {@code wantedBytes}; returns how many bytes may be read. To be called
         * before each read, when everything that was read before has been forwarded.
         */
        int reserveRead(int wantedBytes);

        /** Nothing more is read for now: all that was read was forwarded, or waits until a pause is over. */
        void readCompleted();

        /** The body is complete; {@code trailers} may be empty. */
        void end(HttpHeaders trailers);

        /** The response ends early, and the client must be able to notice that a part is missing. */
        void abort();
    }
}
