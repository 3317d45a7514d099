package sedgeyoke.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;

/**
 * Discovery, with an agent of its own for each balancer: so it knows when it has told whom, which the rule on drains is
 * judged by. A watch waits for news; an agent can be slower than the others, and all can be down.
 */
public final class DiscoveryStandin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LONGEST_HOLD_MS = 60_000;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final InvariantChecker checker;
    private final SiteModel site;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Agent> agents = new HashMap<>();
    private long revision;
    private boolean down;

    /** One node as the list has it. */
    private record Member(
            String id, String address, int zone, int kind, String phase, long launchedAt, long revision) {}

    DiscoveryStandin(EventLoop loop, LongSupplier clock, InvariantChecker checker, SiteModel site) {
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.site = site;
    }

    /** Adds the agent of a balancer; returns its address. Not to be called on the loop. */
    String agent(String balancer, long delayMs) {
        Agent agent = new Agent(balancer, delayMs);
        loop.submit(() -> agent.known = revision).syncUninterruptibly();
        Channel listener = Http.listen(loop, 0, () -> new Calls(agent));
        agents.put(balancer, agent);
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** What is true of a node from now on; {@code up}, {@code draining} or {@code removed}. */
    void set(OrderNode node, String phase) {
        set(node.spec(), node.address(), node.model().launchedAt(), phase);
    }

    /** The same for a node of any make. */
    void set(SiteModel.NodeSpec spec, String address, long launchedAt, String phase) {
        revision++;
        Member m = new Member(spec.id(), address, spec.zone(), spec.kind(), phase, launchedAt, revision);
        members.put(m.id(), m);
        long at = revision;
        agents.values().forEach(a -> loop.schedule(() -> a.learn(at), a.delayMs, TimeUnit.MILLISECONDS));
    }

    /** Whether calls fail. What is open ends. */
    public void down(boolean on) {
        down = on;
        if (on) {
            agents.values().forEach(a -> List.copyOf(a.connections).forEach(Channel::close));
        }
    }

    private String list(long from, long upTo) {
        ObjectNode root = JSON.createObjectNode().put("revision", upTo).put("complete", from < 0);
        ArrayNode list = root.putArray("members");
        for (Member m : members.values()) {
            if (m.revision() > from
                    && m.revision() <= upTo
                    && !(from < 0 && m.phase().equals("removed"))) {
                list.addObject()
                        .put("id", m.id())
                        .put("host_port", m.address())
                        .put("locality", site.zones().get(m.zone()))
                        .put("flavor", SiteModel.KINDS.get(m.kind()))
                        .put("cell", m.zone())
                        .put("phase", m.phase())
                        .put("size", 1.0)
                        .put("up_since_ms", m.launchedAt() / 1_000);
            }
        }
        return root.toString();
    }

    /** What one balancer's agent knows, and the watches on it. */
    private final class Agent {
        private final String balancer;
        private final long delayMs;
        private final Set<Channel> connections = new HashSet<>();
        private final List<Watch> watches = new ArrayList<>();
        private long known;

        Agent(String balancer, long delayMs) {
            this.balancer = balancer;
            this.delayMs = delayMs;
        }

        void learn(long upTo) {
            known = Math.max(known, upTo);
            List<Watch> waiting = List.copyOf(watches);
            watches.clear();
            waiting.forEach(w -> answer(w.ctx(), w.from(), w.timeout()));
        }

        void answer(ChannelHandlerContext ctx, long from, ScheduledFuture<?> timeout) {
            if (timeout != null) {
                timeout.cancel(false);
            }
            members.values().stream()
                    .filter(m -> m.revision() > from && m.revision() <= known)
                    .forEach(m ->
                            checker.balancerNotified(balancer, m.id(), m.phase().equals("up"), clock.getAsLong()));
            ctx.writeAndFlush(Http.answer(200, list(from, known)));
        }
    }

    private record Watch(ChannelHandlerContext ctx, long from, ScheduledFuture<?> timeout) {}

    /** The calls on one connection. */
    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Agent agent;

        Calls(Agent agent) {
            this.agent = agent;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (down) {
                ctx.close();
            }
            agent.connections.add(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            agent.connections.remove(ctx.channel());
            agent.watches.removeIf(w -> w.ctx() == ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            long from = Long.parseLong(query.getOrDefault("from", List.of("-1")).get(0));
            long hold =
                    Long.parseLong(query.getOrDefault("hold_ms", List.of("0")).get(0));
            if (from < 0 || from < agent.known) {
                agent.answer(ctx, from, null);
                return;
            }
            ScheduledFuture<?> timeout = loop.schedule(
                    () -> {
                        agent.watches.removeIf(w -> w.ctx() == ctx);
                        agent.answer(ctx, from, null);
                    },
                    Math.min(hold, LONGEST_HOLD_MS),
                    TimeUnit.MILLISECONDS);
            agent.watches.add(new Watch(ctx, from, timeout));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
