package sedgeyoke.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Accepts TCP connections, each of which becomes a {@link FramedConnection}. */
public final class FramedListener {
    private static final int BACKLOG = 256;

    private FramedListener() {}

    /**
     * Listens on an address; must not be called on the loop.
     *
     * @param accept called on the loop with each new channel; attaches a connection to it or closes it
     * @return the bound address
     * @throws RuntimeException if the address cannot be bound; Netty throws {@code java.net.BindException} undeclared
     */
    public static InetSocketAddress listen(EventLoop loop, InetSocketAddress address, Consumer<Channel> accept) {
        return (InetSocketAddress) new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept.accept(channel);
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }
}
