package sedgeyoke.proxy;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sedgeyoke.body.BodyLimits;

/** One balancer: its module, its sockets and its end, all on one event loop. */
public final class BalancerServer {
    /** How often we look, once told to end, what is to be done by now. */
    private static final long LOOK_EVERY_MS = 5;

    private final EventLoop loop;
    private final BalancerConfig config;
    private final ProxyCore node;
    private final AdminServer door;
    private final HttpFrontend frontend;
    private final CountDownLatch done = new CountDownLatch(1);

    BalancerServer(EventLoop loop, BalancerConfig config, ProxyCore node, Transport transport, BodyLimits bodies) {
        this(loop, config, node, transport, bodies, null);
    }

    BalancerServer(
            EventLoop loop,
            BalancerConfig config,
            ProxyCore node,
            Transport transport,
            BodyLimits bodies,
            ServerSocketChannel inherited) {
        this.loop = loop;
        this.config = config;
        this.node = node;
        this.frontend = new HttpFrontend(loop, config, node, transport, bodies, inherited);
        this.door = new AdminServer(loop, transport, new Operations());
    }

    /** A balancer on TCP; throws {@link IllegalArgumentException} with the name of a setting that is no good. */
    public static BalancerServer onSockets(EventLoop loop, BalancerConfig config) {
        return onSockets(loop, config, config.bodies(), null);
    }

    /**
     * The same with limits on bodies of its own.
     *
     * @param inherited a listener that the platform holds and that other processes may share, or null
     */
    public static BalancerServer onSockets(
            EventLoop loop, BalancerConfig config, BodyLimits bodies, ServerSocketChannel inherited) {
        return new BalancerServer(
                loop,
                config,
                new ProxyCore(loop, config, Transport.SOCKETS, bodies),
                Transport.SOCKETS,
                bodies,
                inherited);
    }

    /** Listens, and starts the module once that has worked. */
    public ChannelFuture bind() {
        return frontend.bind().addListener(bound -> {
            if (bound.isSuccess()) {
                node.start();
            }
        });
    }

    /** Opens the door for operators, if the configuration has one; null if not. */
    public ChannelFuture openDoor() {
        return config.ops() == null ? null : door.bind(config.ops());
    }

    /** What the door asks for; on the loop. */
    private final class Operations implements AdminServer.Operations {
        @Override
        public boolean healthy() {
            return frontend.takesClients();
        }

        @Override
        public String figures() {
            return node.figures(frontend.inFlight());
        }

        @Override
        public boolean cordon(String id, boolean out) {
            return node.cordon(id, out);
        }
    }

    /** Listens; returns the address, or throws with the reason. */
    public InetSocketAddress listen() {
        return (InetSocketAddress) bind().syncUninterruptibly().channel().localAddress();
    }

    /** The way to the decision module for other features; use it on the loop only. */
    public ModulePort port() {
        return node;
    }

    /** Takes over what may change while we run; may be called on any thread. */
    public void reload(BalancerConfig changed) {
        loop.execute(() -> node.reload(changed));
    }

    /** Writes a line to the log, at its bounded rate; may be called on any thread. */
    public void log(String line) {
        loop.execute(() -> node.log().line(line));
    }

    /** For tests: what long bodies are counted with; asked on the loop. */
    long reservedForBodies() {
        return loop.submit(frontend::reserved).syncUninterruptibly().getNow();
    }

    /** For tests: the open connections of clients; asked on the loop. */
    int clients() {
        return loop.submit(frontend::clients).syncUninterruptibly().getNow();
    }

    /** The same where nothing can have held up the signal. */
    public void end() {
        end(0);
    }

    /**
     * Runs in the shutdown hook, which the JVM waits for. Clients go on using the connections that they have, and
     * another balancer may be away at the same time, so we serve on these for as long as an answer is sure to be
     * out before SIGKILL; then they are closed, and what is held is finished.
     *
     * @param late for how long, in microseconds, the signal may have been under way to us
     */
    public void end(long late) {
        GracefulShutdown ending = new GracefulShutdown(node.now() - late, node.longestDeadline());
        loop.execute(() -> {
            frontend.drain();
            if (frontend.shared()) {
                frontend.handOver(); // its connections that wait are the other process's
            }
            look(ending);
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Looks again and again what the time is, rather than once at each moment: how late we are counts, too. */
    private void look(GracefulShutdown ending) {
        long now = node.now();
        boolean late = ending.looked(now) > LOOK_EVERY_MS * 1_000;
        node.answerUntil(ending.lastAnswer(), ending.lastRequest());
        // A loop that is late may have more to accept than one pass takes: closed unserved, these would be lost.
        if (now >= ending.listenUntil() && !frontend.shared() && frontend.backlogEmpty() && !late) {
            frontend.stopListening();
        }
        if (now >= ending.lastRequest()) {
            frontend.close(now >= ending.lastAnswer());
        }
        if (now >= ending.lastAnswer()) {
            node.endAll();
        }
        if (now >= ending.listenUntil() && node.idle() && frontend.clients() == 0 && done.getCount() > 0) {
            node.reportBodies();
            done.countDown();
        }
        ending.due(node.now() + LOOK_EVERY_MS * 1_000);
        loop.schedule(() -> look(ending), LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }
}
