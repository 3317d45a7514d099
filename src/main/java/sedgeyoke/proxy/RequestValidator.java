package sedgeyoke.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Function;

/**
 * Stops a request that cannot be served before any of its body is kept. What follows on that connection is thrown
 * away unread: where such a request ends is anybody's guess.
 */
final class RequestValidator extends ChannelInboundHandlerAdapter {
    /** Further checks of a head that can be read; null if it is in order. */
    private final Function<HttpRequest, Rejection> further;

    private final long mostBytes;
    private boolean rejected;
    private long body;

    /** Goes up the pipeline in place of the request. */
    record Rejection(HttpResponseStatus status, String reason) {}

    /** Guards against a request that hides another one in its body: by its length it ends elsewhere than by chunks. */
    static final class Decoder extends HttpRequestDecoder {
        /** {@code part} is the most that it gives out of a body at once. */
        Decoder(int part) {
            super(new HttpDecoderConfig().setMaxChunkSize(part));
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new CorruptedFrameException("both Content-Length and Transfer-Encoding");
        }
    }

    RequestValidator(Function<HttpRequest, Rejection> further, long mostBytes) {
        this.further = further;
        this.mostBytes = mostBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        Rejection verdict = rejected || !(message instanceof HttpObject part) ? null : check(part);
        if (rejected || verdict != null) {
            ReferenceCountUtil.release(message);
        } else {
            ctx.fireChannelRead(message);
        }
        if (verdict != null) {
            rejected = true;
            ctx.fireChannelRead(verdict);
        }
    }

    private Rejection check(HttpObject part) {
        Throwable fault = part.decoderResult().cause();
        if (fault != null) {
            return new Rejection(
                    fault instanceof TooLongHttpHeaderException
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : fault instanceof TooLongHttpLineException
                                    ? HttpResponseStatus.REQUEST_URI_TOO_LONG
                                    : HttpResponseStatus.BAD_REQUEST,
                    "malformed request");
        }
        if (part instanceof HttpRequest head) {
            body = 0;
            Rejection verdict = framing(head);
            return verdict != null ? verdict : further.apply(head);
        }
        body += part instanceof HttpContent content ? content.content().readableBytes() : 0;
        return body > mostBytes ? tooLarge() : null;
    }

    private Rejection framing(HttpRequest head) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return new Rejection(HttpResponseStatus.HTTP_VERSION_NOT_SUPPORTED, "HTTP/1.1 is spoken here");
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()
                && (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            return new Rejection(HttpResponseStatus.BAD_REQUEST, "missing or malformed: Transfer-Encoding");
        }
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            return new Rejection(HttpResponseStatus.EXPECTATION_FAILED, "malformed: Expect");
        }
        return HttpUtil.getContentLength(head, 0L) > mostBytes ? tooLarge() : null;
    }

    private Rejection tooLarge() {
        return new Rejection(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "a body of more than " + mostBytes + " bytes");
    }
}
