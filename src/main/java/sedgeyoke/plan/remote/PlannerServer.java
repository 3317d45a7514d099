package sedgeyoke.plan.remote;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.Planner;
import sedgeyoke.settings.PlannerSettings;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.FramedListener;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.PeerRole;
import sedgeyoke.transport.proto.Frame;

/**
 * Runs a {@link Planner} on sockets: it receives the load reports of forwarders and sends them plans at a fixed
 * interval. It runs on one event loop.
 */
public final class PlannerServer {
    /**
     * Connections allowed beyond the maximum number of forwarders, for forwarders that reconnect while their old
     * connection still exists.
     */
    private static final int SPARE_CONNECTIONS = 64;

    private final EventLoop loop;
    private final PlannerSettings settings;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final MutualTls tls;
    private final Planner planner;
    private final Map<String, ForwarderConnection> forwarders = new HashMap<>();
    private int connections;

    /**
     * Creates the server; throws if the TLS files cannot be loaded.
     *
     * @param incarnation random number that identifies this process
     * @param clock monotonic clock, in microseconds
     */
    public PlannerServer(
            EventLoop loop, PlannerSettings settings, long incarnation, LongSupplier clock, Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.tls = MutualTls.forServer(settings.tls(), log);
        this.planner = new Planner(
                new Planner.Settings(settings.name(), incarnation, settings.mostForwarders(), settings.mostUpstreams()),
                new LeaseClock(settings.driftPpm()));
    }

    /** Starts to listen and to send plans, and returns the bound address. Must not be called on the loop. */
    public InetSocketAddress start() {
        InetSocketAddress address = FramedListener.listen(loop, settings.listen(), this::accept);
        loop.scheduleAtFixedRate(
                this::sendPlans, settings.planEveryMs(), settings.planEveryMs(), TimeUnit.MILLISECONDS);
        return address;
    }

    private void accept(Channel channel) {
        if (connections >= settings.mostForwarders() + SPARE_CONNECTIONS) {
            channel.close();
            return;
        }
        connections++;
        channel.closeFuture().addListener(closed -> connections--);
        new ForwarderConnection().attach(channel, tls.newHandler(channel));
    }

    private void sendPlans() {
        List<Planner.AddressedPlan> plans = planner.createPlans(clock.getAsLong());
        ByteString views = plans.isEmpty()
                ? ByteString.EMPTY
                : PlannerCodec.encodeViews(plans.get(0).message().views());
        for (Planner.AddressedPlan plan : plans) {
            ForwarderConnection forwarder = forwarders.get(plan.forwarder());
            if (forwarder != null) {
                forwarder.send(Frame.newBuilder()
                        .setPlan(PlannerCodec.encodePlan(plan, views))
                        .build());
            }
        }
    }

    /** Returns the number of connected forwarders; to be called on the loop. */
    public int connectedForwarders() {
        return forwarders.size();
    }

    /** The connection to one forwarder. */
    private final class ForwarderConnection extends FramedConnection {
        ForwarderConnection() {
            super(Set.of(PeerRole.FORWARDER), settings.name(), log);
        }

        @Override
        protected void onReady() {
            ForwarderConnection previous = forwarders.put(peerName(), this);
            if (previous != null) {
                previous.close("replaced by a newer connection");
            }
        }

        @Override
        protected void onMessage(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException {
            if (!frame.hasReport()) {
                close("unexpected message, not a load report");
                return;
            }
            planner.handleReport(clock.getAsLong(), PlannerCodec.decodeReport(peerName(), frame.getReport()));
        }

        @Override
        protected void onClosed() {
            forwarders.remove(peerName(), this);
        }
    }
}
