package sedgeyoke.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
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

/**
 * Decodes responses of upstreams and throws as soon as one is invalid. A response must say how long it is, or that its
 * connection ends with it (RFC 9112, section 6.3): then it is complete if the connection is closed in order, and broken
 * if it is reset.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_INFORMATIONAL = 20;

    private final long maxBytes;
    private int informationalCount;
    private boolean insideResponse;

    /**
     * Creates a decoder for one connection.
     *
     * @param maxBytes a response that announces more is invalid
     * @param maxPartBytes the longest part of a body that is passed on at once
     */
    UpstreamResponseDecoder(long maxBytes, int maxPartBytes) {
        super(new HttpDecoderConfig().setMaxChunkSize(maxPartBytes));
        this.maxBytes = maxBytes;
    }

    /** Whether there is input behind the responses decoded so far: the connection must not be used again then. */
    boolean hasMore() {
        return insideResponse || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        insideResponse = out.size() > before
                ? !(out.get(out.size() - 1) instanceof LastHttpContent)
                : insideResponse || in.readerIndex() > start;
        if (out.size() > before && out.get(before) instanceof HttpResponse head) {
            String problem = problemOf(head);
            if (problem != null) {
                out.remove(before);
                throw new CorruptedFrameException(problem);
            }
        }
    }

    /** Rejects lines that are no header: Netty accepts blanks before the colon and all behind them. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new CorruptedFrameException("a header without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Rejects a response that has both a length and chunks, as it could be read in two ways. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both a length and chunks");
    }

    /** What is invalid in the head of a response; null if nothing is. */
    private String problemOf(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        if (head.decoderResult().isFailure()) {
            return "a head that cannot be read";
        }
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return "the version " + version;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return ++informationalCount > MAX_INFORMATIONAL
                            || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    ? "the status " + head.status().code()
                    : null;
        }
        informationalCount = 0;
        if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
            return "the status " + head.status().code();
        }
        HttpHeaders headers = head.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            long length = HttpUtil.getContentLength(head, -1L);
            boolean endsWithConnection =
                    length < 0 && !headers.contains(HttpHeaderNames.CONTENT_LENGTH) && !HttpUtil.isKeepAlive(head);
            return length < 0 && !endsWithConnection || length > maxBytes
                    ? "the length " + headers.get(HttpHeaderNames.CONTENT_LENGTH)
                    : null;
        }
        return codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                ? null
                : "the transfer encoding " + codings;
    }
}
