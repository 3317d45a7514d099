package sedgeyoke.proxy.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.exchange.Exchange;

/** Builds the HTTP requests that go to upstreams. */
final class UpstreamRequests {
    private static final String BUDGET_HEADER = "X-Budget-Ms";

    private UpstreamRequests() {}

    /** A request with its complete body. */
    static FullHttpRequest complete(Exchange exchange, long budgetMillis) {
        byte[] body = exchange.body().bytes();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, exchange.method(), exchange.uri(), Unpooled.wrappedBuffer(body));
        request.headers().set(exchange.headers()).set(BUDGET_HEADER, budgetMillis);
        if (body.length > 0 || exchange.method().equals(HttpMethod.POST)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return request;
    }

    /** The head of a request whose body is streamed; it declares the length of the body if the client did. */
    static HttpRequest streamingHead(Exchange exchange) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, exchange.method(), exchange.uri());
        head.headers()
                .set(exchange.headers())
                .set(BUDGET_HEADER, exchange.request().timeLeftMicros() / TimeUnits.MICROS_PER_MILLI);
        if (exchange.contentLength() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.contentLength());
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return head;
    }
}
