package sedgeyoke.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;

/**
 * Stand-in for the discovery service, with an agent for each balancer. The {@link InvariantChecker} counts a change as
 * known to a balancer from the time at which the balancer's agent has it. An agent can learn of changes late, its
 * responses can be faulty, and all agents can be down.
 */
public final class DiscoveryStandin {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_HOLD_MS = 60_000;
    /** Phases of a node, as the endpoint list names them. */
    static final String UP = "up";

    static final String DRAINING = "draining";
    static final String REMOVED = "removed";

    private static final int FIRST_BYTES = 20;
    private static final int PIECES = 4;
    private static final long LATE_MS = 150;
    private static final long PIECE_INTERVAL_MS = 20;
    private static final int OLDER_REVISIONS = 2;
    private static final int REMEMBERED_LISTS = 8;

    private final EventLoop loop;
    private final LongSupplier clock;
    private final InvariantChecker checker;
    private final SiteModel site;
    private final Map<String, Member> members = new HashMap<>();
    private final Map<String, Agent> agents = new HashMap<>();
    /** The complete endpoint lists of the latest revisions, by revision. */
    private final TreeMap<Long, String> completeLists = new TreeMap<>();

    private long revision;
    private boolean down;
    private boolean silent;
    /** The longest time until a change counts as known to balancers that poll; 0 where agents push changes. */
    private long pollPropagationMs;

    /** A node in the endpoint list, with the revision of its latest change. */
    private record Member(
            String id, String address, int zone, int kind, String phase, long launchedAtMicros, long revision) {}

    DiscoveryStandin(EventLoop loop, LongSupplier clock, InvariantChecker checker, SiteModel site) {
        this.loop = loop;
        this.clock = clock;
        this.checker = checker;
        this.site = site;
    }

    /** Adds the agent of a balancer and returns its address. Must not be called on the event loop. */
    String agent(String balancer, long delayMs) {
        return agent(balancer, balancer, delayMs);
    }

    /** Adds a further agent of a balancer, under its own name, and returns its address. */
    String agent(String name, String balancer, long delayMs) {
        Agent agent = new Agent(balancer, delayMs);
        Channel listener = Http.listen(loop, 0, () -> new Connection(agent));
        loop.submit(() -> {
                    agent.knownRevision = revision;
                    agents.put(name, agent);
                })
                .syncUninterruptibly();
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Sets the phase of a node; each agent learns of it after the agent's delay. */
    void setPhase(OrderNode node, String phase) {
        setPhase(node.spec(), node.address(), node.model().launchedAtMicros(), phase);
    }

    /** Sets the phase of a node that is not an {@link OrderNode}. */
    void setPhase(SiteModel.NodeSpec spec, String address, long launchedAtMicros, String phase) {
        revision++;
        Member member = new Member(spec.id(), address, spec.zone(), spec.kind(), phase, launchedAtMicros, revision);
        members.put(member.id(), member);
        completeLists.put(revision, list(-1, revision));
        if (completeLists.size() > REMEMBERED_LISTS) {
            completeLists.pollFirstEntry();
        }
        long newRevision = revision;
        agents.values()
                .forEach(agent ->
                        loop.schedule(() -> agent.advanceTo(newRevision), agent.delayMs, TimeUnit.MILLISECONDS));
    }

    /** While down, closes all connections and fails every call. */
    void setDown(boolean nowDown) {
        down = nowDown;
        if (nowDown) {
            agents.values().forEach(agent -> List.copyOf(agent.connections).forEach(Channel::close));
        }
    }

    /** While silent, agents neither respond nor learn of changes; afterwards they learn all missed changes at once. */
    void setSilent(boolean nowSilent) {
        silent = nowSilent;
        if (!nowSilent) {
            agents.values().forEach(agent -> agent.advanceTo(revision));
        }
    }

    /** Makes balancers poll from now on; a change counts as known to them after this time at the latest. */
    void setPollPropagation(long millis) {
        pollPropagationMs = millis;
    }

    /** Gives the next responses of an agent these faults, in this order, in place of any that are still due. */
    void failAnswers(String agent, List<AnswerFault> faults) {
        agents.get(agent).faults.clear();
        agents.get(agent).faults.addAll(faults);
    }

    /** The complete endpoint list at the latest revision. */
    String completeList() {
        return list(-1, revision);
    }

    /** The changes after one revision up to another, or the complete list if {@code from} is negative. */
    private String list(long from, long upTo) {
        ObjectNode root = JSON.createObjectNode().put("revision", upTo).put("complete", from < 0);
        ArrayNode list = root.putArray("members");
        for (Member member : members.values()) {
            if (member.revision() > from
                    && member.revision() <= upTo
                    && !(from < 0 && member.phase().equals(REMOVED))) {
                list.addObject()
                        .put("id", member.id())
                        .put("host_port", member.address())
                        .put("locality", site.zones().get(member.zone()))
                        .put("flavor", SiteModel.KINDS.get(member.kind()))
                        .put("cell", member.zone())
                        .put("phase", member.phase())
                        .put("size", 1.0)
                        .put("up_since_ms", member.launchedAtMicros() / 1_000);
            }
        }
        return root.toString();
    }

    /** The agent of one balancer: the latest revision that it has, and the watches that wait for a later one. */
    private final class Agent {
        private final String balancer;
        private final long delayMs;
        private final Set<Channel> connections = new HashSet<>();
        private final List<Watch> watches = new ArrayList<>();
        private final ArrayDeque<AnswerFault> faults = new ArrayDeque<>();
        private long knownRevision;

        Agent(String balancer, long delayMs) {
            this.balancer = balancer;
            this.delayMs = delayMs;
        }

        void advanceTo(long newRevision) {
            if (silent || newRevision <= knownRevision) {
                return;
            }
            long before = knownRevision;
            knownRevision = newRevision;
            if (pollPropagationMs == 0) {
                notifyChecker(before, newRevision);
            } else {
                loop.schedule(() -> notifyChecker(before, newRevision), pollPropagationMs, TimeUnit.MILLISECONDS);
            }
            List<Watch> waiting = List.copyOf(watches);
            watches.clear();
            waiting.forEach(watch -> answer(watch.ctx(), watch.from(), watch.timeout()));
        }

        void answer(ChannelHandlerContext ctx, long from, ScheduledFuture<?> timeout) {
            if (timeout != null) {
                timeout.cancel(false);
            }
            if (silent) {
                return;
            }
            AnswerFault fault = faults.poll();
            if (fault == null) {
                ctx.writeAndFlush(Http.response(200, list(from, knownRevision)));
            } else {
                answerWithFault(ctx, list(from, knownRevision), fault);
            }
        }

        /** Tells the checker that the balancer knows these changes from now on. */
        private void notifyChecker(long after, long upTo) {
            members.values().stream()
                    .filter(member -> member.revision() > after && member.revision() <= upTo)
                    .forEach(member -> checker.balancerNotified(
                            balancer, member.id(), member.phase().equals(UP), clock.getAsLong()));
        }

        private void answerWithFault(ChannelHandlerContext ctx, String body, AnswerFault fault) {
            byte[] complete = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8);
            switch (fault) {
                case SILENT -> {}
                case FIRST_BYTES -> writeRaw(ctx, complete, 0, FIRST_BYTES);
                case HALF -> writeRaw(ctx, complete, 0, complete.length / 2);
                case HALF_AND_CLOSE -> {
                    writeRaw(ctx, complete, 0, complete.length / 2);
                    ctx.close();
                }
                case CLOSE -> ctx.close();
                case UNAVAILABLE -> ctx.writeAndFlush(Http.response(503, ""));
                case LATE -> loop.schedule(
                        () -> writeRaw(ctx, complete, 0, complete.length), LATE_MS, TimeUnit.MILLISECONDS);
                case PIECES -> writePieces(ctx, complete);
                case COMPLETE_LIST -> ctx.writeAndFlush(Http.response(200, list(-1, knownRevision)));
                case OLDER_LIST -> ctx.writeAndFlush(Http.response(200, olderList()));
                default -> throw new IllegalArgumentException(fault.toString());
            }
        }

        private String olderList() {
            Map.Entry<Long, String> older = completeLists.floorEntry(knownRevision - OLDER_REVISIONS);
            return older == null ? list(-1, knownRevision) : older.getValue();
        }

        private void writePieces(ChannelHandlerContext ctx, byte[] complete) {
            for (int piece = 0; piece < PIECES; piece++) {
                int from = complete.length * piece / PIECES;
                int to = complete.length * (piece + 1) / PIECES;
                loop.schedule(
                        () -> writeRaw(ctx, complete, from, to - from),
                        piece * PIECE_INTERVAL_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        /** Writes bytes without the HTTP encoder, which accepts only complete messages. */
        private static void writeRaw(ChannelHandlerContext ctx, byte[] bytes, int from, int length) {
            if (ctx.channel().isActive()) {
                ctx.pipeline().context(HttpServerCodec.class).writeAndFlush(Unpooled.copiedBuffer(bytes, from, length));
            }
        }
    }

    /** A long poll: gets its response once there is a revision after {@code from}, or at its timeout. */
    private record Watch(ChannelHandlerContext ctx, long from, ScheduledFuture<?> timeout) {}

    /** A connection of a balancer to its agent. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Agent agent;

        Connection(Agent agent) {
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
            agent.watches.removeIf(watch -> watch.ctx() == ctx);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
            if (silent) {
                return;
            }
            long from = Long.parseLong(query.getOrDefault("from", List.of("-1")).get(0));
            long hold =
                    Long.parseLong(query.getOrDefault("hold_ms", List.of("0")).get(0));
            if (from < 0 || from < agent.knownRevision) {
                agent.answer(ctx, from, null);
                return;
            }
            ScheduledFuture<?> timeout = loop.schedule(
                    () -> {
                        agent.watches.removeIf(watch -> watch.ctx() == ctx);
                        agent.answer(ctx, from, null);
                    },
                    Math.min(hold, MAX_HOLD_MS),
                    TimeUnit.MILLISECONDS);
            agent.watches.add(new Watch(ctx, from, timeout));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
