package sedgeyoke.consensus.server;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.consensus.ConfigSubscriber;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RaftTiming;
import sedgeyoke.consensus.SafetyRules;
import sedgeyoke.consensus.codec.ClientCodec;
import sedgeyoke.consensus.codec.ConfigCodec;
import sedgeyoke.lease.ClockDrift;
import sedgeyoke.settings.ConfigSubscriptionSettings;
import sedgeyoke.transport.Dialer;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.PeerRole;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.LeaseReplyMessage;

/**
 * Runs a {@link ConfigSubscriber} in a balancer: renews the lease periodically at one of the config servers, switches
 * to the next server when one does not respond, and reports each change of the effective config. Runs on the balancer's
 * event loop and never blocks.
 */
public final class ConfigSubscription {
    private static final long CHECK_MILLIS = 20;
    private static final int REQUESTS_PER_LEASE = 6;
    /** The number of requests without a response after which the next server is tried. */
    private static final int MAX_UNANSWERED_REQUESTS = 2;

    private final EventLoop loop;
    private final ConfigSubscriptionSettings settings;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final Consumer<ConfigSubscriber.EffectiveConfig> onChange;
    private final String name;
    private final ConfigSubscriber subscriber;
    private final Dialer<ServerConnection> dialer;
    private final SplittableRandom random;
    private final long requestIntervalMicros;
    private ConfigSubscriber.EffectiveConfig lastReported;
    private int serverIndex;
    private long nextRequestMicros;
    private int unansweredRequests;

    /**
     * Creates the subscription; throws if the TLS files cannot be loaded.
     *
     * @param name the balancer's name, as in its certificate
     * @param incarnation random id of this process, drawn when it started
     * @param clock monotonic, in microseconds
     * @param onChange called on the loop with each new effective config
     */
    public ConfigSubscription(
            EventLoop loop,
            ConfigSubscriptionSettings settings,
            String name,
            long incarnation,
            LongSupplier clock,
            Consumer<String> log,
            Consumer<ConfigSubscriber.EffectiveConfig> onChange)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.onChange = onChange;
        this.name = name;
        this.dialer = new Dialer<>(loop, MutualTls.forClient(settings.tls(), log), ServerConnection::new);
        RaftTiming timing = RaftTiming.defaults(
                settings.leaseMs() * RaftTiming.MICROS_PER_MILLI, new ClockDrift(settings.driftPpm()));
        this.subscriber = new ConfigSubscriber(name, incarnation, new SafetyRules(timing), ConfigVersion.NONE);
        this.random = new SplittableRandom(incarnation);
        this.requestIntervalMicros = timing.leaseMicros() / REQUESTS_PER_LEASE;
        this.serverIndex = random.nextInt(settings.servers().size());
    }

    /** Starts to request leases, on the loop. The first delay is random, to spread the requests of all balancers. */
    public void start() {
        nextRequestMicros = clock.getAsLong() + random.nextLong(requestIntervalMicros);
        loop.scheduleWithFixedDelay(this::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check() {
        long nowMicros = clock.getAsLong();
        if (nowMicros >= nextRequestMicros) {
            long jitterMicros = random.nextLong(Math.max(1, requestIntervalMicros / 4));
            nextRequestMicros = nowMicros + requestIntervalMicros - requestIntervalMicros / 8 + jitterMicros;
            requestLease();
        }
        reportChange(nowMicros);
    }

    private void requestLease() {
        if (unansweredRequests >= MAX_UNANSWERED_REQUESTS || dialer.isIdle()) {
            connectToNextServer();
        }
        unansweredRequests++;
        Optional<ServerConnection> connection = dialer.readyConnection();
        if (connection.isPresent()) {
            connection
                    .get()
                    .send(Frame.newBuilder()
                            .setLeaseRequest(ClientCodec.encode(subscriber.leaseRequest(clock.getAsLong())))
                            .build());
        }
    }

    private void connectToNextServer() {
        dialer.close("does not respond");
        unansweredRequests = 0;
        serverIndex = (serverIndex + 1) % settings.servers().size();
        dialer.dial(settings.servers().get(serverIndex));
    }

    private void reportChange(long nowMicros) {
        ConfigSubscriber.EffectiveConfig current = subscriber.effectiveConfig(nowMicros);
        boolean unchanged = lastReported != null
                && current.mode() == lastReported.mode()
                && current.activeVersion() == lastReported.activeVersion()
                && current.pendingVersion() == lastReported.pendingVersion();
        if (unchanged) {
            return;
        }
        lastReported = current;
        boolean leased = current.mode() == ConfigSubscriber.Mode.LEASED;
        String pending = current.pendingVersion() == 0 ? "" : " and " + current.pendingVersion() + ", which is pending";
        log.accept("agreed: acts " + (leased ? "under a lease" : "without a lease") + " on version "
                + current.activeVersion() + pending);
        onChange.accept(current);
    }

    private void handle(LeaseReplyMessage reply) {
        unansweredRequests = 0;
        long nowMicros = clock.getAsLong();
        boolean requestAgain = subscriber.handle(
                nowMicros,
                ClientCodec.decode(reply.getResponse()),
                reply.hasActive() ? ConfigCodec.decode(reply.getActive()) : null,
                reply.hasPending() ? ConfigCodec.decode(reply.getPending()) : null);
        if (requestAgain) {
            nextRequestMicros = nowMicros;
        }
        reportChange(nowMicros);
    }

    /** A connection to a config server. */
    private final class ServerConnection extends FramedConnection {
        ServerConnection() {
            super(Set.of(PeerRole.CONFIG_SERVER), name, log);
        }

        @Override
        protected void onReady() {
            nextRequestMicros = clock.getAsLong();
        }

        @Override
        protected void onMessage(Frame frame) throws InvalidProtocolBufferException {
            if (frame.hasLeaseReply()) {
                handle(frame.getLeaseReply());
            } else if (!frame.hasConfigChanged()) {
                close("unexpected message of a config server");
            } else if (frame.getConfigChanged().getNewestVersion() > subscriber.newestVersion()) {
                nextRequestMicros = clock.getAsLong();
            }
        }
    }
}
