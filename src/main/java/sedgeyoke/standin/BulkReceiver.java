package sedgeyoke.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.security.MessageDigest;
import java.util.concurrent.TimeUnit;

/** Reads one long body at a pace or as fast as it comes, and digests it. The channel must not read by itself. */
final class BulkReceiver {
    private static final int MOST_READ = 65_536;
    private static final long TICK_MS = 100;

    private final Channel channel;
    private final long length;
    private final double perSecond;
    private final MessageDigest digest = BulkContent.digest();
    private final long startedAt = System.nanoTime();
    private long received;

    BulkReceiver(Channel channel, long length, double perSecond) {
        this.channel = channel;
        this.length = length;
        this.perSecond = perSecond;
    }

    /** For both ends of such exchanges: small kernel buffers, so that flow control is felt early. */
    static void prepare(Channel channel, int buffer) {
        channel.config().setAutoRead(false);
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(MOST_READ).maxMessagesPerRead(1));
        channel.config().setOption(ChannelOption.SO_RCVBUF, buffer);
        channel.config().setOption(ChannelOption.SO_SNDBUF, buffer);
    }

    void part(ByteBuf data) {
        digest.update(data.nioBuffer());
        received += data.readableBytes();
    }

    /** Reads on, now or when it is time; to be called after each read. */
    void more() {
        double dueMs = perSecond == 0 || received >= length
                ? 0
                : received / perSecond * 1e3 - (System.nanoTime() - startedAt) / 1e6;
        if (dueMs <= 0) {
            channel.read();
        } else { // some at once now and then, as a slow reader's process would, not byte by byte
            channel.eventLoop().schedule(channel::read, (long) Math.max(dueMs, TICK_MS), TimeUnit.MILLISECONDS);
        }
    }

    byte[] digest() {
        return digest.digest();
    }
}
