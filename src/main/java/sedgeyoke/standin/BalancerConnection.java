package sedgeyoke.standin;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.InvariantChecker.Answer;
import sedgeyoke.standin.ClientRequest.Attempt;

/** A client's connection to a balancer, with one attempt at a time on it. */
final class BalancerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    /** Delay from the recorded disconnect to the sending of the request, where a soak plants that mistake. */
    private static final long SENT_AFTER_DISCONNECT_MILLIS = 150;
    /** How long a client waits for a response beyond its deadline, to tell a late response from a lost one. */
    private static final long LATE_ANSWER_MILLIS = 700;

    private final Balancer balancer;
    private final ClientBehavior behavior;
    private final InvariantChecker checker;
    private final LongSupplier clockMicros;
    private final Listener listener;
    private Channel channel;
    /** The attempt whose response is outstanding; null if there is none. */
    private Attempt current;
    /** Whether the current attempt was first sent on another connection. */
    private boolean currentIsResent;

    private boolean hasAnswered;

    /** Receives the events that may make a client retry or resend an attempt. */
    interface Listener {
        /** The attempt was rejected. */
        void rejected(Attempt attempt);

        /** The connection was closed, and the balancer may not have read the attempt: it may be sent once more. */
        void closedUnread(Attempt attempt, Balancer balancer);
    }

    BalancerConnection(
            Balancer balancer,
            ClientBehavior behavior,
            InvariantChecker checker,
            LongSupplier clockMicros,
            Listener listener) {
        this.balancer = balancer;
        this.behavior = behavior;
        this.checker = checker;
        this.clockMicros = clockMicros;
        this.listener = listener;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    boolean isOpen() {
        return channel.isActive();
    }

    /** Sends an attempt for the first time. */
    void send(Attempt attempt) {
        currentIsResent = false;
        start(attempt);
    }

    /** Sends an attempt again, after the connection that it was first sent on was closed. */
    void resend(Attempt attempt) {
        currentIsResent = true;
        start(attempt);
    }

    private void start(Attempt attempt) {
        current = attempt;
        long budgetMillis = Math.max(1, (attempt.deadlineMicros() - clockMicros.getAsLong()) / 1_000);
        boolean disconnects = behavior.drawDisconnect();
        if (disconnects && behavior.sendsAfterDisconnect()) {
            checker.clientDisconnected(attempt.id(), clockMicros.getAsLong());
            schedule(SENT_AFTER_DISCONNECT_MILLIS, () -> write(attempt, budgetMillis));
            return;
        }
        write(attempt, budgetMillis);
        if (disconnects) {
            schedule(behavior.drawDisconnectDelayMillis(), () -> disconnectIfCurrent(attempt));
        }
        schedule(budgetMillis + LATE_ANSWER_MILLIS, () -> closeIfCurrent(attempt));
    }

    private void schedule(long delayMillis, Runnable task) {
        channel.eventLoop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void write(Attempt attempt, long budgetMillis) {
        channel.writeAndFlush(ClientHttpRequest.of(attempt, behavior.announcedBudgetMillis(budgetMillis)));
    }

    private void disconnectIfCurrent(Attempt attempt) {
        if (attempt.equals(current)) {
            current = null;
            checker.clientDisconnected(attempt.id(), clockMicros.getAsLong());
            channel.close();
        }
    }

    private void closeIfCurrent(Attempt attempt) {
        if (attempt.equals(current)) {
            channel.close(); // channelInactive reports the loss
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        if (current == null) {
            ctx.close();
            return;
        }
        Attempt answered = current;
        current = null;
        hasAnswered = true;
        Answer answer = answer(response.status().code());
        checker.requestAnswered(
                answered.id(),
                answer,
                bodyMatches(answered, answer, response),
                answered.request().createdMicros(),
                clockMicros.getAsLong());
        if (HttpUtil.isKeepAlive(response)) {
            balancer.addIdle(this);
        } else {
            ctx.close();
        }
        if (answer == Answer.REJECTED) {
            listener.rejected(answered);
        }
    }

    private static Answer answer(int status) {
        return switch (status) {
            case OK -> Answer.SERVED;
            case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> Answer.REJECTED;
            default -> Answer.FAILED;
        };
    }

    /** Whether a served response has the body that an order node sends for this attempt. */
    private static boolean bodyMatches(Attempt attempt, Answer answer, FullHttpResponse response) {
        return answer != Answer.SERVED
                || response.content().toString(StandardCharsets.UTF_8).equals("done " + attempt.id());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        balancer.removeIdle(this);
        Attempt interrupted = current;
        current = null;
        if (interrupted == null) {
            return;
        }
        if (mayResend(interrupted)) {
            listener.closedUnread(interrupted, balancer);
        } else {
            checker.connectionLost(interrupted.id(), clockMicros.getAsLong());
        }
    }

    /**
     * Whether the balancer may have closed an idle connection while the attempt was in transit. PROTOCOL ("Clients to
     * balancers") lets a client send it once more, with the same id. If the balancer did forward the first one, the
     * checker sees two executions under that id.
     */
    private boolean mayResend(Attempt attempt) {
        return hasAnswered
                && !currentIsResent
                && !checker.hasReachedNode(attempt.id())
                && !checker.isBalancerDown(balancer.name())
                && clockMicros.getAsLong() < attempt.deadlineMicros();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
