package sedgeyoke.proxy.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Declares both sides of a response that is forwarded while it is received, independent of the protocol. */
public final class ResponseStream {
    private ResponseStream() {}

    /**
     * What is known of the response when it begins.
     *
     * @param contentType as the upstream sends it, or null
     * @param length of the body in bytes; negative if not known
     */
    public record Head(String contentType, long length) {}

    /** The upstream's side. */
    public interface Source {
        /** The client's side can take more. */
        void demand();

        /** The client has left, or reads too slowly: the rest is of no use. */
        void cancel();
    }

    /** The client's side. */
    public interface Sink {
        /** Forwards a part and takes over its reference; false asks for a pause until {@link Source#demand}. */
        boolean forward(ByteBuf data);

        /** The body is complete; {@code trailers} may be empty. */
        void end(HttpHeaders trailers);

        /** The response ends early, and the client must be able to notice that a part is missing. */
        void abort();
    }
}
