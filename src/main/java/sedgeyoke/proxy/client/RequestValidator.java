package sedgeyoke.proxy.client;

import io.netty.buffer.ByteBuf;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Function;
import sedgeyoke.proxy.common.HeaderMemory;
import sedgeyoke.proxy.exchange.RejectionReason;

/**
 * Rejects a request that cannot be served before any of its body is buffered. All later input on the connection is
 * discarded, because it is not known where such a request ends.
 */
final class RequestValidator extends ChannelInboundHandlerAdapter {
    /** Checks a well-formed head; returns null for a valid request. */
    private final Function<HttpRequest, Rejection> headCheck;

    private final long maxBodyBytes;
    private boolean rejected;
    private long bodyBytes;

    /** Passed up the pipeline in place of a rejected request; {@code text} is the body of the response. */
    record Rejection(RejectionReason reason, String text) {}

    /** Limits decoding to one request at a time, since a short request takes much more memory once it is decoded. */
    interface DecodingGate {
        /** Whether the next request must not be decoded yet. Asked before each part of a request. */
        boolean isClosed();

        /** Takes a copy of the input that must not be decoded yet. */
        void handBack(ByteBuf rest);
    }

    /**
     * Decodes requests, and rejects those with both Content-Length and Transfer-Encoding, which may hide another
     * request in their body (request smuggling).
     */
    static final class Decoder extends HttpRequestDecoder {
        private final DecodingGate gate;
        private final HeaderMemory headerMemory;

        /** {@code maxPartBytes} is the largest part of a body that is passed on at once. */
        Decoder(int maxPartBytes, DecodingGate gate, HeaderMemory headerMemory) {
            super(new HttpDecoderConfig().setMaxChunkSize(maxPartBytes));
            this.gate = gate;
            this.headerMemory = headerMemory;
        }

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
            if (gate.isClosed()) {
                gate.handBack(in);
                in.skipBytes(in.readableBytes());
            } else {
                super.decode(ctx, in, out);
            }
        }

        @Override
        protected HttpMessage createMessage(String[] initialLine) throws Exception {
            headerMemory.begin();
            return super.createMessage(initialLine);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (!headerMemory.tryAddField()) {
                throw new TooLongHttpHeaderException("no memory for more header fields");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new CorruptedFrameException("both Content-Length and Transfer-Encoding");
        }
    }

    /**
     * Creates a validator for one connection.
     *
     * @param headCheck returns the rejection of a well-formed head, or null
     * @param maxBodyBytes larger bodies are rejected
     */
    RequestValidator(Function<HttpRequest, Rejection> headCheck, long maxBodyBytes) {
        this.headCheck = headCheck;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        Rejection rejection = rejected || !(message instanceof HttpObject part) ? null : check(part);
        if (rejected || rejection != null) {
            ReferenceCountUtil.release(message);
        } else {
            ctx.fireChannelRead(message);
        }
        if (rejection != null) {
            rejected = true;
            ctx.fireChannelRead(rejection);
        }
    }

    private Rejection check(HttpObject part) {
        Throwable fault = part.decoderResult().cause();
        if (fault != null) {
            return new Rejection(reasonOf(fault), "malformed request");
        }
        if (part instanceof HttpRequest head) {
            bodyBytes = 0;
            Rejection rejection = checkFraming(head);
            return rejection != null ? rejection : headCheck.apply(head);
        }
        bodyBytes += part instanceof HttpContent content ? content.content().readableBytes() : 0;
        return bodyBytes > maxBodyBytes ? tooLarge() : null;
    }

    private static RejectionReason reasonOf(Throwable fault) {
        if (fault instanceof TooLongHttpHeaderException) {
            return RejectionReason.HEADERS_TOO_LARGE;
        }
        return fault instanceof TooLongHttpLineException
                ? RejectionReason.URI_TOO_LONG
                : RejectionReason.MALFORMED_MESSAGE;
    }

    private Rejection checkFraming(HttpRequest head) {
        HttpVersion version = head.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return new Rejection(RejectionReason.UNSUPPORTED_VERSION, "HTTP/1.1 is spoken here");
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()
                && (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            return new Rejection(
                    RejectionReason.UNSUPPORTED_TRANSFER_CODING, "missing or malformed: Transfer-Encoding");
        }
        String expected = head.headers().get(HttpHeaderNames.EXPECT);
        if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            return new Rejection(RejectionReason.UNSUPPORTED_EXPECTATION, "malformed: Expect");
        }
        return HttpUtil.getContentLength(head, 0L) > maxBodyBytes ? tooLarge() : null;
    }

    private Rejection tooLarge() {
        return new Rejection(RejectionReason.BODY_TOO_LARGE, "a body of more than " + maxBodyBytes + " bytes");
    }
}
