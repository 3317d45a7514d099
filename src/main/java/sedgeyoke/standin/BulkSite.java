package sedgeyoke.standin;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Map;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;

/** Order nodes for long bodies and the discovery that names them, without any clients of their own. */
public final class BulkSite implements AutoCloseable {
    private final SiteModel spec;
    private final EventLoop loop;
    private final DiscoveryStandin discovery;

    /** Starts a node for each of the site's; each socket's kernel buffers are asked to be that large. */
    public BulkSite(SiteModel spec, EventLoopGroup loops, Map<String, BulkPair> pairs, int buffer) {
        this.spec = spec;
        this.loop = loops.next();
        this.discovery = new DiscoveryStandin(loop, () -> System.nanoTime() / 1_000, new InvariantChecker(spec), spec);
        for (SiteModel.NodeSpec node : spec.nodes()) {
            String address = new BulkNode(loops.next(), pairs, buffer).address();
            loop.submit(() -> discovery.set(node, address, 0, "up")).syncUninterruptibly();
        }
    }

    /** What it is made of. */
    public SiteModel spec() {
        return spec;
    }

    /** The address of a new agent of discovery, for one balancer. */
    public String discovery() {
        return discovery.agent("b0", 0);
    }

    @Override
    public void close() {
        loop.submit(() -> discovery.down(true)).syncUninterruptibly();
    }
}
