package sedgeyoke.proxy.common;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import sedgeyoke.testing.Await;

class TransportTest {
    private static final int READ_BYTES = 32 * 1024;
    private static final int MORE_THAN_THE_KERNEL_BUFFERS = 64 << 20;
    private static final long TIMEOUT_MILLIS = 10_000;

    /** Guards against small parts that wait for a slow peer and each keep the large buffer that they were read into. */
    @Test
    void aPartThatHasToWaitIsCopiedOutOfItsReadBuffer() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Channel channel = connect(loop, listener);
            ByteBuf read = Unpooled.buffer(READ_BYTES).writeBytes("some".getBytes(StandardCharsets.US_ASCII));
            loop.submit(() -> assertSame(read, Transport.compactIfWaiting(channel, read)))
                    .sync();

            channel.writeAndFlush(
                    Unpooled.buffer(MORE_THAN_THE_KERNEL_BUFFERS).writeZero(MORE_THAN_THE_KERNEL_BUFFERS));
            ByteBuf copy = loop.submit(() -> Transport.compactIfWaiting(channel, read))
                    .sync()
                    .getNow();
            assertNotSame(read, copy);
            assertEquals("some", copy.toString(StandardCharsets.US_ASCII));
            assertTrue(copy.capacity() < READ_BYTES, "capacity " + copy.capacity());
            assertEquals(0, read.refCnt(), "the read buffer is released");
            copy.release();
            channel.close().sync();
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    @Test
    void bytesThatArriveWhileReadingIsPausedAreCountedAsUnread() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Channel channel = connect(loop, listener);
            try (Socket peer = listener.accept()) {
                peer.getOutputStream().write(new byte[1_234]);
                Await.until("the bytes have arrived", TIMEOUT_MILLIS, () -> Transport.unreadBytes(channel) == 1_234);
            }
            channel.close().sync();
            assertEquals(0, Transport.unreadBytes(channel));
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private static Channel connect(EventLoop loop, ServerSocket listener) throws InterruptedException {
        return Transport.SOCKETS
                .client(loop)
                .option(ChannelOption.AUTO_READ, false)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(listener.getLocalSocketAddress())
                .sync()
                .channel();
    }
}
