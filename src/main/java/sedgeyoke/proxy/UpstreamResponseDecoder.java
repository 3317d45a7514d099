package sedgeyoke.proxy;

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
 * Reads answers of upstreams and throws at the first sign that one is spoilt, as soon as its head tells. An answer must
 * say how long it is, or that its connection ends with it (RFC 9112, section 6.3): it is whole then if that ends in
 * order, and broken if it is reset.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final int MOST_INFORMATIONAL = 20;

    private final long mostBytes;
    private int informational;
    private boolean within;

    /** {@code mostBytes}: an answer that says it is longer is not read; {@code part}: given out at once. */
    UpstreamResponseDecoder(long mostBytes, int part) {
        super(new HttpDecoderConfig().setMaxChunkSize(part));
        this.mostBytes = mostBytes;
    }

    /** Whether more has come than the answers read so far: nothing on this connection can be trusted then. */
    boolean hasMore() {
        return within || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        within = out.size() > before
                ? !(out.get(out.size() - 1) instanceof LastHttpContent)
                : within || in.readerIndex() > start;
        if (out.size() > before && out.get(before) instanceof HttpResponse head) {
            String fault = fault(head);
            if (fault != null) {
                out.remove(before);
                throw new CorruptedFrameException(fault);
            }
        }
    }

    /** Guards against lines that are no header: before the colon, Netty takes blanks and all behind them. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new CorruptedFrameException("a header without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Guards against an answer that reads differently by its length and by its chunks. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new CorruptedFrameException("both a length and chunks");
    }

    /** What is wrong with the head of an answer; null if it is in order. */
    private String fault(HttpResponse head) {
        HttpVersion version = head.protocolVersion();
        if (head.decoderResult().isFailure()) {
            return "a head that cannot be read";
        }
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return "the version " + version;
        }
        if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return ++informational > MOST_INFORMATIONAL || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)
                    ? "the status " + head.status().code()
                    : null;
        }
        informational = 0;
        if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
            return "the status " + head.status().code();
        }
        HttpHeaders h = head.headers();
        List<String> codings = h.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            long length = HttpUtil.getContentLength(head, -1L);
            boolean ends = length < 0 && !h.contains(HttpHeaderNames.CONTENT_LENGTH) && !HttpUtil.isKeepAlive(head);
            return length < 0 && !ends || length > mostBytes
                    ? "the length " + h.get(HttpHeaderNames.CONTENT_LENGTH)
                    : null;
        }
        return codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                ? null
                : "the transfer encoding " + codings;
    }
}
