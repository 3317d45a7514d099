package sedgeyoke.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.SiteModel;

/** Clients against a scripted balancer: what crosses the end of an idle connection is no loss, all else is. */
class ClientsTest {
    private static final int WANTED = 40;
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final SiteModel site =
            new SiteModel(List.of("a"), SiteModel.orders(), List.of(), SiteModel.RuleSpec.DEFAULT, false);
    private final InvariantChecker checker = new InvariantChecker(site);
    private final Map<String, Integer> seen = new HashMap<>();
    private final Map<String, Set<String>> idsByKey = new HashMap<>();

    /** What a scripted balancer does with a request. */
    private enum Does {
        ANSWER,
        REFUSE,
        CLOSE
    }

    /** {@code before}: requests answered on this connection; {@code times}: how often this id has come so far. */
    private interface Script {
        Does next(int before, int times);
    }

    private final class Scripted extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Script script;
        private int before;

        Scripted(Script script) {
            this.script = script;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            String id = request.headers().get("X-Call-Id");
            String key = request.headers().get("Idempotency-Key");
            if (key != null) {
                idsByKey.computeIfAbsent(key, k -> new HashSet<>()).add(id);
            }
            switch (script.next(before, seen.merge(id, 1, Integer::sum))) {
                case CLOSE -> ctx.close();
                case REFUSE -> ctx.writeAndFlush(Http.response(503, ""));
                default -> ctx.writeAndFlush(Http.response(200, "done " + id));
            }
            before++;
        }
    }

    @AfterEach
    void end() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private InvariantChecker.Summary play(Script script) throws InterruptedException {
        return play(script, 0);
    }

    private int mostTries() {
        return idsByKey.values().stream().mapToInt(Set::size).max().orElse(0);
    }

    /** Until enough is wanted, and one want has been tried so often. */
    private InvariantChecker.Summary play(Script script, int tries) throws InterruptedException {
        InetSocketAddress address = (InetSocketAddress)
                Http.listen(loop, 0, () -> new Scripted(script)).localAddress();
        Clients clients = new Clients(site, loop, () -> System.nanoTime() / 1_000, checker, new double[] {1}, 7);
        loop.submit(() -> {
                    clients.addBalancer("b", 0, address);
                    clients.start(300);
                })
                .sync();
        await(() -> checker.summary().requests() >= WANTED && mostTries() >= tries);
        loop.submit(clients::stop).sync();
        await(() -> checker.pendingRequests() == 0);
        return loop.submit(checker::summary).syncUninterruptibly().getNow();
    }

    private void await(BooleanSupplier done) throws InterruptedException {
        while (!loop.submit(done::getAsBoolean).syncUninterruptibly().getNow()) {
            Thread.sleep(2);
        }
    }

    @Test
    void whatCrossesTheEndOfAnIdleConnectionIsSentOnceMore() throws InterruptedException {
        InvariantChecker.Summary summary = play((before, times) -> before > 0 ? Does.CLOSE : Does.ANSWER);
        assertEquals(Map.of(), summary.violations());
        assertTrue(seen.values().stream().anyMatch(n -> n == 2));
        assertTrue(seen.values().stream().allMatch(n -> n <= 2));
    }

    @Test
    void aSecondEndIsALoss() throws InterruptedException {
        InvariantChecker.Summary summary = play((before, times) -> before > 0 || times > 1 ? Does.CLOSE : Does.ANSWER);
        long twice = seen.values().stream().filter(n -> n == 2).count();
        assertTrue(twice > 0);
        assertEquals(Map.of(1, (int) twice), summary.violations());
    }

    @Test
    void anEndBeforeAnyAnswerIsALossAtOnce() throws InterruptedException {
        InvariantChecker.Summary summary = play((before, times) -> Does.CLOSE);
        assertEquals(Map.of(1, seen.size()), summary.violations());
        assertTrue(seen.values().stream().allMatch(n -> n == 1));
    }

    @Test
    void retriesOfOneWantShareItsKeyAndNothingElse() throws InterruptedException {
        play((before, times) -> Does.REFUSE, 3);
        assertTrue(seen.values().stream().allMatch(n -> n == 1)); // each try has an id of its own
        assertEquals(3, mostTries()); // the want and both of its retries
    }
}
