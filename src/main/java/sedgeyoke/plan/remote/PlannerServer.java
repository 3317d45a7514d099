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
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.proto.Frame;

/** A planner on sockets. All of it runs on one event loop. */
public final class PlannerServer {
    /** Connections beyond the forwarders that there may be: for those that are just coming back. */
    private static final int SPARE = 64;

    private final EventLoop loop;
    private final PlannerSettings settings;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final MutualTls tls;
    private final Planner planner;
    private final Map<String, Forwarder> forwarders = new HashMap<>();
    private int connections;

    /** Throws if the TLS files are no good. */
    public PlannerServer(
            EventLoop loop, PlannerSettings settings, long incarnation, LongSupplier clock, Consumer<String> log)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.tls = new MutualTls(settings.tls(), true, log);
        this.planner = new Planner(
                new Planner.Settings(settings.name(), incarnation, settings.mostForwarders(), settings.mostUpstreams()),
                new LeaseClock(settings.driftPpm()));
    }

    /** Listens and begins to plan; returns the address. Not to be called on the loop. */
    public InetSocketAddress start() {
        InetSocketAddress address = FramedConnection.listen(loop, settings.listen(), this::accept);
        loop.scheduleAtFixedRate(this::plan, settings.planEveryMs(), settings.planEveryMs(), TimeUnit.MILLISECONDS);
        return address;
    }

    private void accept(Channel ch) {
        if (connections >= settings.mostForwarders() + SPARE) {
            ch.close();
            return;
        }
        connections++;
        ch.closeFuture().addListener(closed -> connections--);
        new Forwarder().install(ch, tls.handler(ch));
    }

    private void plan() {
        long now = clock.getAsLong();
        List<Planner.AddressedPlan> plans = planner.createPlans(now);
        ByteString board = plans.isEmpty()
                ? ByteString.EMPTY
                : PlannerCodec.board(plans.get(0).message().views());
        for (Planner.AddressedPlan out : plans) {
            Forwarder forwarder = forwarders.get(out.forwarder());
            if (forwarder != null) {
                forwarder.send(
                        Frame.newBuilder().setPlan(PlannerCodec.of(out, board)).build());
            }
        }
    }

    /** How many forwarders are connected and have greeted; asked on the loop. */
    public int connected() {
        return forwarders.size();
    }

    /** One forwarder's connection. */
    private final class Forwarder extends FramedConnection {
        Forwarder() {
            super(Set.of(MutualTls.Role.FORWARDER), settings.name(), log);
        }

        @Override
        protected void ready() {
            Forwarder before = forwarders.put(peer(), this);
            if (before != null) {
                before.close("it has connected anew");
            }
        }

        @Override
        protected void message(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException {
            if (!frame.hasReport()) {
                close("sends what is no report");
                return;
            }
            planner.handleReport(clock.getAsLong(), PlannerCodec.report(peer(), frame.getReport()));
        }

        @Override
        protected void gone() {
            forwarders.remove(peer(), this);
        }
    }
}
