package sedgeyoke.link;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.agree.Adherent;
import sedgeyoke.agree.Rules;
import sedgeyoke.agree.Timing;
import sedgeyoke.agree.Version;
import sedgeyoke.lease.Drift;
import sedgeyoke.link.proto.Frame;
import sedgeyoke.link.proto.LeaseReply;
import sedgeyoke.operator.AgreedSettings;

/**
 * The side of a balancer that acts on what the keepers agree: a connection to one of them, asks at a steady rate, and
 * what the balancer acts on whenever that changes. A keeper that does not answer is left for another one. It runs on
 * the balancer's loop and waits for nothing.
 */
public final class AgreedLink {
    private static final long LOOK_EVERY_MS = 20;
    /** So often a lease is asked for anew within its time. */
    private static final int ASKS_IN_A_LEASE = 6;
    /** So many asks without an answer, and another keeper is asked. */
    private static final int PATIENCE = 2;

    private final EventLoop loop;
    private final AgreedSettings settings;
    private final LongSupplier clock;
    private final Consumer<String> log;
    private final Consumer<Adherent.Acting> acting;
    private final String name;
    private final Tls tls;
    private final Adherent adherent;
    private final SplittableRandom random;
    private final long askEvery;
    private Adherent.Acting told;
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
    public AgreedLink(
            EventLoop loop,
            AgreedSettings settings,
            String name,
            long run,
            LongSupplier clock,
            Consumer<String> log,
            Consumer<Adherent.Acting> acting)
            throws IOException {
        this.loop = loop;
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.acting = acting;
        this.name = name;
        this.tls = new Tls(settings.tls(), false, log);
        Timing timing = Timing.usual(settings.leaseMs() * 1_000, new Drift(settings.driftPpm()));
        this.adherent = new Adherent(name, run, new Rules(timing), Version.NONE);
        this.random = new SplittableRandom(run);
        this.askEvery = timing.lease() / ASKS_IN_A_LEASE;
        this.at = random.nextInt(settings.keepers().size());
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
                    .setLeaseAsk(AgreeCodec.of(adherent.ask(clock.getAsLong())))
                    .build());
        }
    }

    private void tell(long now) {
        Adherent.Acting next = adherent.acting(now);
        if (told == null
                || next.mode() != told.mode()
                || next.version() != told.version()
                || next.pending() != told.pending()) {
            told = next;
            log.accept("agreed: acts " + (next.mode() == Adherent.Mode.LEASED ? "under a lease" : "alone")
                    + " on version " + next.version()
                    + (next.pending() == 0 ? "" : " and " + next.pending() + ", which is to take effect"));
            acting.accept(next);
        }
    }

    private void next() {
        if (connection != null) {
            connection.close("does not answer");
            connection = null;
        }
        unanswered = 0;
        at = (at + 1) % settings.keepers().size();
        connecting = true;
        Connection next = new Connection();
        next.dial(loop, tls, settings.keepers().get(at), connected -> {
            connecting = false;
            connection = connected ? next : connection;
        });
    }

    /** A connection to a keeper. */
    private final class Connection extends Peers {
        Connection() {
            super(Set.of(Tls.Role.KEEPER), name, log);
        }

        @Override
        void ready() {
            nextAsk = clock.getAsLong();
        }

        @Override
        void message(Frame frame) throws Messages.Implausible, InvalidProtocolBufferException {
            if (frame.hasNews()) {
                if (frame.getNews().getNewest() > adherent.newest()) {
                    nextAsk = clock.getAsLong();
                }
            } else if (frame.hasLeaseReply()) {
                LeaseReply reply = frame.getLeaseReply();
                unanswered = 0;
                long now = clock.getAsLong();
                if (adherent.heard(
                        now,
                        AgreeCodec.grant(reply.getGrant()),
                        reply.hasActive() ? AgreeCodec.version(reply.getActive()) : null,
                        reply.hasPending() ? AgreeCodec.version(reply.getPending()) : null)) {
                    nextAsk = now;
                }
                tell(now);
            } else {
                close("sends what is no answer of a keeper");
            }
        }

        @Override
        void gone() {
            if (connection == this) {
                connection = null;
            }
        }
    }
}
