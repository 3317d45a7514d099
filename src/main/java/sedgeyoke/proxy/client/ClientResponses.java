package sedgeyoke.proxy.client;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Locale;
import java.util.Set;
import sedgeyoke.proxy.exchange.ResponseStream;

/** Builds the HTTP messages that are sent to clients. */
final class ClientResponses {
    /** Value of {@code retryAfterMicros} for a response without a Retry-After header. */
    static final long NO_RETRY_AFTER = 0;

    private static final double MICROS_PER_SECOND = 1e6;

    /** Fields that change how a message is read are not allowed in trailers (RFC 9110, section 6.5.1). */
    private static final Set<String> FORBIDDEN_TRAILERS = Set.of(
            "content-length",
            "transfer-encoding",
            "host",
            "trailer",
            "connection",
            "content-encoding",
            "content-type",
            "content-range",
            "te",
            "upgrade",
            "keep-alive");

    private ClientResponses() {}

    /** The interim response to a client that waits for it before it sends a body. */
    static FullHttpResponse proceed() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE);
    }

    /**
     * A response with all of its body.
     *
     * @param contentType null for none
     * @param retryAfterMicros {@link #NO_RETRY_AFTER} for none
     */
    static FullHttpResponse complete(
            HttpResponseStatus status,
            String contentType,
            byte[] body,
            long retryAfterMicros,
            AfterResponse afterResponse) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (contentType != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        if (retryAfterMicros > NO_RETRY_AFTER) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMicros / MICROS_PER_SECOND);
        }
        HttpUtil.setKeepAlive(response, afterResponse == AfterResponse.KEEP_ALIVE);
        return response;
    }

    /** The head of a response whose body is streamed. */
    static HttpResponse streamed(ResponseStream.Head head, AfterResponse afterResponse) {
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (head.length() >= 0) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, head.length());
        } else {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (head.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, head.contentType());
        }
        HttpUtil.setKeepAlive(response, afterResponse == AfterResponse.KEEP_ALIVE);
        return response;
    }

    /** The end of a streamed response, with those trailers of the upstream that may be forwarded. */
    static LastHttpContent lastContent(HttpHeaders trailers) {
        DefaultLastHttpContent last = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
        trailers.forEach(trailer -> {
            if (!FORBIDDEN_TRAILERS.contains(trailer.getKey().toLowerCase(Locale.ROOT))) {
                last.trailingHeaders().add(trailer.getKey(), trailer.getValue());
            }
        });
        return last;
    }
}
