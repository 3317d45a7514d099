package sedgeyoke.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** An answer that is passed on as it comes, of whatever protocol. */
final class ResponseStream {
    private ResponseStream() {}

    /**
     * What is known of it when it begins.
     *
     * @param contentType as the upstream says, or null
     * @param length in bytes; negative where only its end will tell
     */
    record Head(String contentType, long length) {}

    /** The upstream's side. */
    interface Source {
        /** The client's side has room again. */
        void demand();

        /** The client is gone, or reads too slowly: there is no use for the rest. */
        void cancel();
    }

    /** The client's side. */
    interface Sink {
        /** Takes over a part; false asks for a pause until {@link Source#demand}. */
        boolean part(ByteBuf data);

        /** All of it was passed on; {@code trailers} may be empty. */
        void end(HttpHeaders trailers);

        /** There will be no more of it: the client must be able to tell that it is not whole. */
        void cut();
    }
}
