package sedgeyoke.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.security.MessageDigest;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends one long body, at a pace or as fast as the other side takes it, and digests what it sends. On the loop. */
final class BulkSender {
    private static final int PART = 16_384;
    private static final long TICK_MS = 100;

    private final Channel channel;
    private final int offset;
    private final long length;
    private final double perSecond;
    private final Consumer<byte[]> done;
    private final MessageDigest digest = BulkContent.digest();
    private final long startedAt = System.nanoTime();
    private long sent;
    private long due;
    private boolean waiting;
    private boolean ended;
    private boolean going;

    BulkSender(Channel channel, int offset, long length, double perSecond, Consumer<byte[]> done) {
        this.channel = channel;
        this.offset = offset;
        this.length = length;
        this.perSecond = perSecond;
        this.done = done;
        this.due = perSecond == 0 ? length : Math.min(length, 1);
    }

    /** Goes on as far as pace and flow control allow; to be called whenever the channel is writable again. */
    void go() {
        if (!going) { // a write may make the channel writable again, which asks for more from within
            going = true;
            do {
                steps();
                channel.flush(); // which may have made it writable again
            } while (!ended && !waiting && channel.isActive() && channel.isWritable());
            going = false;
        }
    }

    /** At a pace, what is due since the last tick goes out at once, and then nothing until the next. */
    private void steps() {
        while (!ended && !waiting && channel.isActive() && channel.isWritable()) {
            if (sent < length && due <= sent) {
                waiting = true;
                channel.eventLoop().schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
            } else {
                step((int) Math.min(PART, due - sent));
            }
        }
    }

    private void tick() {
        waiting = false;
        due = Math.min(length, (long) (perSecond * (System.nanoTime() - startedAt) / 1e9) + 1);
        go();
    }

    private void step(int most) {
        if (sent < length) {
            ByteBuf part = BulkContent.part(offset, sent, most);
            digest.update(part.nioBuffer());
            sent += part.readableBytes();
            channel.write(new DefaultHttpContent(part));
        } else {
            ended = true;
            done.accept(digest.digest());
            channel.write(LastHttpContent.EMPTY_LAST_CONTENT);
        }
    }
}
