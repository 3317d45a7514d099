package sedgeyoke.consensus.server;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.consensus.ConfigSubscriber;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RaftTiming;
import sedgeyoke.consensus.SafetyRules;
import sedgeyoke.consensus.codec.ConsensusCodec;
import sedgeyoke.lease.ClockDrift;
import sedgeyoke.settings.ConfigSubscriptionSettings;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.LeaseReply;

/**
 * The side of a balancer that acts on what the keepers agree: a connection to one of them, asks at a steady rate, and
 * what the balancer acts on whenever that changes. A keeper that does not answer is left for another one. It runs on
 * the balancer's loop and waits for nothing.
 */
public final class ConfigSubscription {
    private static final long LOOK_EVERY_MS = 20;
    /** So often a lease is asked for anew within its time. */
    private static final int ASKS_IN_A_LEASE = 6;
    /** So many asks without an answer, and another keeper is asked. */
    private static final int PATIENCE = 2;

    private final EventLoop loop;
    private final ConfigSubscriptionSettings settings;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final Consumer<ConfigSubscriber.EffectiveConfig> acting;
    private final String name;
    private final MutualTls tls;
    private final ConfigSubscriber adherent;
    private final SplittableRandom random;
    private final long askEvery;
    private ConfigSubscriber.EffectiveConfig told;
    private int at;
    private Connection connection;
    private boolean connecting;
    private long nextAsk;
    private int unanswered;

    /**
     * Throws if the TLS files are no good.
     *
     * @param run drawn at this start
     * @param clock microseconds, only growing
     * @param acting is told on the loop whenever what the balancer acts on changes
     */
    public ConfigSubscription(
            EventLoop loop,
            ConfigSubscriptionSettings settings,
            String name,
            long run,
            LongSupplier clock,
            Consumer<String> log,
            Consumer<ConfigSubscriber.EffectiveConfig> acting)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.acting = acting;
        this.name = name;
        this.tls = new MutualTls(settings.tls(), false, log);
        RaftTiming timing = RaftTiming.defaults(settings.leaseMs() * 1_000, new ClockDrift(settings.driftPpm()));
        this.adherent = new ConfigSubscriber(name, run, new SafetyRules(timing), ConfigVersion.NONE);
        this.random = new SplittableRandom(run);
        this.askEvery = timing.leaseMicros() / ASKS_IN_A_LEASE;
        this.at = random.nextInt(settings.servers().size());
    }

    /** Begins, on the loop. */
    public void start() {
        nextAsk = clock.getAsLong() + random.nextLong(askEvery); // not all in one moment
        loop.scheduleWithFixedDelay(this::look, 0, LOOK_EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        long now = clock.getAsLong();
        if (now >= nextAsk) {
            nextAsk = now + askEvery - askEvery / 8 + random.nextLong(Math.max(1, askEvery / 4));
            ask();
        }
        tell(now);
    }

    private void ask() {
        if (unanswered >= PATIENCE || connection == null && !connecting) {
            next();
        }
        unanswered++;
        if (connection != null && connection.peer() != null) {
            connection.send(Frame.newBuilder()
                    .setLeaseAsk(ConsensusCodec.of(adherent.leaseRequest(clock.getAsLong())))
                    .build());
        }
    }

    private void tell(long now) {
        ConfigSubscriber.EffectiveConfig next = adherent.effectiveConfig(now);
        if (told == null
                || next.mode() != told.mode()
                || next.activeVersion() != told.activeVersion()
                || next.pendingVersion() != told.pendingVersion()) {
            told = next;
            log.accept("agreed: acts " + (next.mode() == ConfigSubscriber.Mode.LEASED ? "under a lease" : "alone")
                    + " on version " + next.activeVersion()
                    + (next.pendingVersion() == 0
                            ? ""
                            : " and " + next.pendingVersion() + ", which is to take effect"));
            acting.accept(next);
        }
    }

    private void next() {
        if (connection != null) {
            connection.close("does not answer");
            connection = null;
        }
        unanswered = 0;
        at = (at + 1) % settings.servers().size();
        connecting = true;
        Connection next = new Connection();
        next.dial(loop, tls, settings.servers().get(at), connected -> {
            connecting = false;
            connection = connected ? next : connection;
        });
    }

    /** A connection to a keeper. */
    private final class Connection extends FramedConnection {
        Connection() {
            super(Set.of(MutualTls.Role.KEEPER), name, log);
        }

        @Override
        protected void ready() {
            nextAsk = clock.getAsLong();
        }

        @Override
        protected void message(Frame frame) throws InvalidMessageException, InvalidProtocolBufferException {
            if (frame.hasNews()) {
                if (frame.getNews().getNewest() > adherent.newestVersion()) {
                    nextAsk = clock.getAsLong();
                }
            } else if (frame.hasLeaseReply()) {
                LeaseReply reply = frame.getLeaseReply();
                unanswered = 0;
                long now = clock.getAsLong();
                if (adherent.handle(
                        now,
                        ConsensusCodec.grant(reply.getGrant()),
                        reply.hasActive() ? ConsensusCodec.version(reply.getActive()) : null,
                        reply.hasPending() ? ConsensusCodec.version(reply.getPending()) : null)) {
                    nextAsk = now;
                }
                tell(now);
            } else {
                close("sends what is no answer of a keeper");
            }
        }

        @Override
        protected void gone() {
            if (connection == this) {
                connection = null;
            }
        }
    }
}
