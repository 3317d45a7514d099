package sedgeyoke.standin;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import sedgeyoke.standin.ClientRequest.Attempt;

/** Encodes a client's attempt as an HTTP request of the platform's protocol. */
final class ClientHttpRequest {
    private static final int BODY_BYTES = 200;

    private ClientHttpRequest() {}

    /** The HTTP request of an attempt, which announces {@code budgetMillis} to the balancer. */
    static FullHttpRequest of(Attempt attempt, long budgetMillis) {
        ClientRequest request = attempt.request();
        boolean safe = request.requestClass().safe();
        FullHttpRequest http = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                safe ? HttpMethod.GET : HttpMethod.POST,
                "/api?obj=" + request.affinityKey(),
                safe ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
        http.headers()
                .set(HttpHeaderNames.HOST, "origin.svc")
                .set("X-Call-Id", attempt.id())
                .set("X-Call-Class", request.requestClass().name())
                .set("X-Budget-Ms", budgetMillis);
        if (request.idempotencyKey() != null) {
            http.headers().set("Idempotency-Key", request.idempotencyKey());
        }
        if (request.attempts() > 1) {
            http.headers().set("X-Again", "1");
        }
        if (!safe) {
            http.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
        }
        return http;
    }
}
