package sedgeyoke.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Accepts the TCP connections that become {@link FramedConnection}s. */
public final class FramedListener {
    private static final int BACKLOG = 256;

    private FramedListener() {}

    /**
     * Listens on an address; must not be called on the loop.
     *
     * @param accept called on the loop for each new channel, to attach a connection to it or to close it
     * @return the bound address
     * @throws RuntimeException the undeclared {@code java.net.BindException} of Netty if the address cannot be bound
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
