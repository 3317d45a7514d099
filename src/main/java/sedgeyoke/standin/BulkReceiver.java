package sedgeyoke.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.security.MessageDigest;
import java.util.concurrent.TimeUnit;

/** Reads one long body, at a given rate or as fast as possible, and digests it. The channel must not use auto-read. */
final class BulkReceiver {
    private static final int MAX_READ_BYTES = 65_536;
    /** The shortest interval between the reads of a slow reader, so that it does not read byte by byte. */
    private static final long TICK_MS = 100;

    private final Channel channel;
    private final long length;
    /** The rate at which the body is read; 0 for as fast as possible. */
    private final double bytesPerSecond;

    private final MessageDigest digest = BulkContent.digest();
    private final long startNanos = System.nanoTime();
    private long received;

    BulkReceiver(Channel channel, long length, double bytesPerSecond) {
        this.channel = channel;
        this.length = length;
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Prepares a channel of either end: small kernel buffers make flow control take effect early. */
    static void prepare(Channel channel, int bufferBytes) {
        channel.config().setAutoRead(false);
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(MAX_READ_BYTES).maxMessagesPerRead(1));
        channel.config().setOption(ChannelOption.SO_RCVBUF, bufferBytes);
        channel.config().setOption(ChannelOption.SO_SNDBUF, bufferBytes);
    }

    /** Adds received content. */
    void receive(ByteBuf data) {
        digest.update(data.nioBuffer());
        received += data.readableBytes();
    }

    /** Requests the next read, now or when it is due; to be called after each read. */
    void requestRead() {
        double dueMs = bytesPerSecond == 0 || received >= length
                ? 0
                : received / bytesPerSecond * 1e3 - (System.nanoTime() - startNanos) / 1e6;
        if (dueMs <= 0) {
            channel.read();
        } else {
            channel.eventLoop().schedule(channel::read, (long) Math.max(dueMs, TICK_MS), TimeUnit.MILLISECONDS);
        }
    }

    /** The digest of the body; to be called once, at its end. */
    byte[] digest() {
        return digest.digest();
    }
}
