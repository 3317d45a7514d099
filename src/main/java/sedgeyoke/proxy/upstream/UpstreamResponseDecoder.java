package sedgeyoke.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import sedgeyoke.proxy.common.HeaderMemory;

/**
 * Decodes responses of upstreams and throws as soon as one is invalid. A response must declare its length, or that it
 * ends with its connection (RFC 9112, section 6.3): then it is complete if the connection is closed in an orderly way,
 * and incomplete if it is reset.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_CONSECUTIVE_INFORMATIONAL = 20;

    private final long maxBytes;
    private final HeaderMemory headerMemory;
    /** Informational responses since the last final one. */
    private int informationalCount;
    /** Whether a response has begun and its last part has not been decoded. */
    private boolean insideResponse;

    /**
     * Creates a decoder for one connection.
     *
     * @param maxBytes a response that declares more is invalid
     * @param maxPartBytes the maximum length of a body part that is passed on
     * @param headerMemory counts the header fields; a response for which there is no memory is invalid
     */
    UpstreamResponseDecoder(long maxBytes, int maxPartBytes, HeaderMemory headerMemory) {
        super(new HttpDecoderConfig().setMaxChunkSize(maxPartBytes));
        this.maxBytes = maxBytes;
        this.headerMemory = headerMemory;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        headerMemory.begin();
        return super.createMessage(initialLine);
    }

    /** Whether there is input after the responses decoded so far: the connection must not be reused then. */
    boolean hasTrailingInput() {
        return insideResponse || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        if (out.size() == before) {
            insideResponse |= in.readerIndex() > start;
            return;
        }
        insideResponse = !(out.get(out.size() - 1) instanceof LastHttpContent);
        if (out.get(before) instanceof HttpResponse head) {
            try {
                validate(head);
            } catch (CorruptedFrameException e) {
                out.remove(before); // Netty would deliver it in spite of the exception
                throw e;
            }
        }
    }

    /**
     * Rejects header lines without a colon directly after the name: Netty accepts whitespace and further text between
     * the name and the colon.
     */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new CorruptedFrameException("header line without a colon after the name");
        }
        if (!headerMemory.tryAddField()) {
            throw new CorruptedFrameException("no memory for more header fields");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Rejects a response with both a Content-Length and the chunked transfer coding, as its length is ambiguous. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both Content-Length and Transfer-Encoding: chunked");
    }

    private void validate(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            throw new CorruptedFrameException("malformed response head");
        }
        validateVersion(head.protocolVersion());
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            validateInformational(head.status());
        } else {
            informationalCount = 0;
            validateFinal(head);
        }
    }

    private static void validateVersion(HttpVersion version) {
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            throw new CorruptedFrameException("unsupported version " + version);
        }
    }

    /** The balancer never requests another protocol, so that a switch to one is invalid. */
    private void validateInformational(HttpResponseStatus status) {
        informationalCount++;
        if (informationalCount > MAX_CONSECUTIVE_INFORMATIONAL
                || status.equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            throw new CorruptedFrameException("unexpected informational status " + status.code());
        }
    }

    private void validateFinal(HttpResponse head) {
        if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
            throw new CorruptedFrameException("invalid status " + head.status().code());
        }
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            validateLength(head);
        } else if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            throw new CorruptedFrameException("unsupported transfer encoding " + codings);
        }
    }

    private void validateLength(HttpResponse head) {
        long length = HttpUtil.getContentLength(head, -1L);
        String declared = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
        boolean endsWithConnection = declared == null && !HttpUtil.isKeepAlive(head);
        if ((length < 0 && !endsWithConnection) || length > maxBytes) {
            throw new CorruptedFrameException("missing, invalid or too large Content-Length: " + declared);
        }
    }
}
