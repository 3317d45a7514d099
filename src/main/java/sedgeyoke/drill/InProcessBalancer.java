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
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.InvalidConfigException;
import sedgeyoke.proxy.core.PolicyPort;
import sedgeyoke.proxy.lifecycle.BalancerServer;
import sedgeyoke.standin.Site;

/** A balancer in this process, on its own event loop; it shares no state with other balancers. */
public final class InProcessBalancer implements AutoCloseable {
    private static final long DISCOVERY_DELAY_STEP_MS = 100;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final BalancerServer server;
    private final InetSocketAddress address;

    /** Starts a balancer and adds it to those that the site's clients use. */
    public InProcessBalancer(Site site, String name, int zone, int position, int groupSize, long seed)
            throws IOException {
        String configuration = TierProcesses.configuration(
                site, name, zone, position, groupSize, position * DISCOVERY_DELAY_STEP_MS, seed);
        try {
            server = BalancerServer.onSockets(
                    loop, BalancerConfig.parse(configuration.getBytes(StandardCharsets.UTF_8)));
        } catch (InvalidConfigException e) {
            throw new IllegalStateException(e);
        }
        address = server.listen();
        site.balancer(name, zone, address);
    }

    /** A summary of the policy's state. */
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
