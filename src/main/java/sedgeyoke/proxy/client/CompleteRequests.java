package sedgeyoke.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/** Counts requests in bytes that were received but not decoded yet. */
final class CompleteRequests {
    private CompleteRequests() {}

    /**
     * Returns how many requests are complete in the bytes, which must begin with a request; an invalid one counts as
     * complete and ends the count. The buffers do not change.
     */
    static int countIn(List<ByteBuf> received) {
        EmbeddedChannel decoder = new EmbeddedChannel(new HttpRequestDecoder());
        try {
            int complete = 0;
            for (ByteBuf bytes : received) {
                decoder.writeInbound(bytes.retainedDuplicate());
                for (Object part = decoder.readInbound(); part != null; part = decoder.readInbound()) {
                    boolean invalid = ((HttpObject) part).decoderResult().isFailure();
                    complete += invalid || part instanceof LastHttpContent ? 1 : 0;
                    ReferenceCountUtil.release(part);
                    if (invalid) {
                        return complete;
                    }
                }
            }
            return complete;
        } finally {
            decoder.finishAndReleaseAll();
        }
    }
}
