package sedgeyoke.standin;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;

/** A site for long bodies: order nodes and the discovery that lists them, without clients. */
public final class BulkSite implements AutoCloseable {
    private final SiteModel spec;
    private final EventLoop loop;
    private final DiscoveryStandin discovery;

    /** Starts the nodes; {@code bufferBytes} is the size of each socket's kernel buffers. */
    public BulkSite(SiteModel spec, EventLoopGroup loops, Map<String, BulkPair> pairsById, int bufferBytes) {
        this.spec = spec;
        this.loop = loops.next();
        this.discovery = new DiscoveryStandin(loop, () -> System.nanoTime() / 1_000, new InvariantChecker(spec), spec);
        for (SiteModel.NodeSpec node : spec.nodes()) {
            String address = new BulkNode(loops.next(), pairsById, bufferBytes).address();
            loop.submit(() -> discovery.setPhase(node, address, 0, DiscoveryStandin.UP))
                    .syncUninterruptibly();
        }
    }

    /** The model of the site: its zones, nodes, request classes and rules. */
    public SiteModel spec() {
        return spec;
    }

    /** Adds a discovery agent for a balancer; returns its address. */
    public String discoveryFor(String balancer) {
        return discovery.agent(balancer, 0);
    }

    @Override
    public void close() {
        loop.submit(() -> discovery.setDown(true)).syncUninterruptibly();
    }
}
