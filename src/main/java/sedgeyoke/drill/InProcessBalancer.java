package sedgeyoke.drill;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.BalancerConfig;
import sedgeyoke.proxy.BalancerServer;
import sedgeyoke.proxy.InvalidConfigException;
import sedgeyoke.proxy.PolicyPort;
import sedgeyoke.standin.Site;

/** A balancer inside this process, on a loop of its own; it shares nothing with others but the network. */
public final class InProcessBalancer implements AutoCloseable {
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BalancerServer server;
    private final InetSocketAddress address;

    /** Starts it, and tells the site's clients of it. */
    public InProcessBalancer(Site site, String name, int zone, int position, int group, long seed) throws IOException {
        String text = TierProcesses.configuration(site, name, zone, position, group, position * 100L, seed);
        try {
            server = BalancerServer.onSockets(loop, BalancerConfig.parse(text.getBytes(StandardCharsets.UTF_8)));
        } catch (InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
        address = server.listen();
        site.balancer(name, zone, address);
    }

    /** What its module knows. */
    public LoadBalancingPolicy.Summary summary() {
        CompletableFuture<LoadBalancingPolicy.Summary> summary = new CompletableFuture<>();
        PolicyPort port = server.port();
        loop.execute(() -> port.deliver(() -> summary.complete(port.policy().summary(port.now()))));
        return summary.join();
    }

    @Override
    public void close() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
