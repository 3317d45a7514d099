package sedgeyoke.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.security.MessageDigest;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends one long body, at a given rate or as fast as the peer reads, and digests it. Confined to the event loop. */
final class BulkSender {
    private static final int MAX_PART_BYTES = 16_384;
    private static final long TICK_MS = 100;

    private final Channel channel;
    private final int offset;
    private final long length;
    /** The rate at which the body is sent; 0 for as fast as possible. */
    private final double bytesPerSecond;

    private final Consumer<byte[]> onSent;
    private final MessageDigest digest = BulkContent.digest();
    private final long startNanos = System.nanoTime();
    private long sent;
    /** How many bytes may be sent by now. */
    private long due;

    private boolean waitingForTick;
    private boolean ended;
    private boolean sending;

    BulkSender(Channel channel, int offset, long length, double bytesPerSecond, Consumer<byte[]> onSent) {
        this.channel = channel;
        this.offset = offset;
        this.length = length;
        this.bytesPerSecond = bytesPerSecond;
        this.onSent = onSent;
        this.due = bytesPerSecond == 0 ? length : Math.min(length, 1);
    }

    /** Sends as much as the rate and flow control allow; to be called whenever the channel becomes writable. */
    void send() {
        if (!sending) { // a flush may make the channel writable, which calls this method again
            sending = true;
            do {
                writeParts();
                channel.flush();
            } while (!ended && !waitingForTick && channel.isActive() && channel.isWritable());
            sending = false;
        }
    }

    /** With a rate, writes the bytes that became due at the latest tick at once, then nothing until the next tick. */
    private void writeParts() {
        while (!ended && !waitingForTick && channel.isActive() && channel.isWritable()) {
            if (sent < length && due <= sent) {
                waitingForTick = true;
                channel.eventLoop().schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
            } else {
                writePart((int) Math.min(MAX_PART_BYTES, due - sent));
            }
        }
    }

    private void tick() {
        waitingForTick = false;
        due = Math.min(length, (long) (bytesPerSecond * (System.nanoTime() - startNanos) / 1e9) + 1);
        send();
    }

    private void writePart(int maxBytes) {
        if (sent < length) {
            ByteBuf part = BulkContent.part(offset, sent, maxBytes);
            digest.update(part.nioBuffer());
            sent += part.readableBytes();
            channel.write(new DefaultHttpContent(part));
        } else {
            ended = true;
            onSent.accept(digest.digest());
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }
}
