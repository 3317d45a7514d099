package sedgeyoke.proxy.admin;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import sedgeyoke.proxy.common.Transport;

/**
 * The admin endpoint for operators: HTTP/1.1, one call per connection, a 2xx status for success. It runs on the event
 * loop of the balancer, so each response shows a consistent state. Callers that never finish their call can occupy only
 * a small number of connections, the oldest of which is closed when a new one arrives.
 */
public final class AdminServer {
    private static final String CORDON_PATH = "/admin/cordon";
    private static final String UNCORDON_PATH = "/admin/uncordon";
    private static final String HEALTH_PATH = "/admin/health";
    private static final String METRICS_PATH = "/admin/stats";

    private static final int MAX_CALLERS = 32;
    private static final int MAX_CALL_BYTES = 4_096;
    private static final int MAX_ID_LENGTH = 256;
    private static final long CALL_TIMEOUT_MICROS = 3_000_000;

    private final EventLoop loop;
    private final Transport transport;
    private final Operations operations;
    private final Set<Channel> callers = new LinkedHashSet<>();

    /** The operations that operators may call; event loop only. */
    public interface Operations {
        /** Whether clients are served. */
        boolean healthy();

        /** The metrics as text. */
        String metrics();

        /** Cordons an upstream; false for an unknown id, or if there are too many cordons. */
        boolean cordon(String id);

        /** Uncordons an upstream; false for an unknown id. */
        boolean uncordon(String id);
    }

    /** Creates a server that does not listen yet. */
    public AdminServer(EventLoop loop, Transport transport, Operations operations) {
        this.loop = loop;
        this.transport = transport;
        this.operations = operations;
    }

    /** Starts listening. The future completes once binding has succeeded or failed. */
    public ChannelFuture bind(InetSocketAddress address) {
        return transport
                .server(loop)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_CALL_BYTES), new Caller());
                    }
                })
                .bind(transport.at(address));
    }

    private FullHttpResponse respond(FullHttpRequest call) {
        String path = new QueryStringDecoder(call.uri()).rawPath();
        boolean changes = path.equals(CORDON_PATH) || path.equals(UNCORDON_PATH);
        boolean reads = path.equals(HEALTH_PATH) || path.equals(METRICS_PATH);
        if (call.decoderResult().isFailure()) {
            return response(HttpResponseStatus.BAD_REQUEST, "malformed call\n");
        } else if (!changes && !reads) {
            return response(HttpResponseStatus.NOT_FOUND, "no such call\n");
        } else if (!call.method().equals(changes ? HttpMethod.POST : HttpMethod.GET)) {
            return response(HttpResponseStatus.METHOD_NOT_ALLOWED, (changes ? "POST" : "GET") + " it\n");
        } else if (changes) {
            return change(call, path.equals(CORDON_PATH) ? operations::cordon : operations::uncordon);
        } else if (path.equals(METRICS_PATH)) {
            return response(HttpResponseStatus.OK, operations.metrics());
        }
        return operations.healthy()
                ? response(HttpResponseStatus.OK, "ok\n")
                : response(HttpResponseStatus.SERVICE_UNAVAILABLE, "takes no clients\n");
    }

    /** Applies a change to the upstream whose id is the body of the call. */
    private static FullHttpResponse change(FullHttpRequest call, Predicate<String> operation) {
        String id = call.content().toString(StandardCharsets.UTF_8).strip();
        if (id.isEmpty() || id.length() > MAX_ID_LENGTH || id.chars().anyMatch(character -> character <= ' ')) {
            return response(HttpResponseStatus.BAD_REQUEST, "the body is the id of an upstream\n");
        }
        return operation.test(id)
                ? response(HttpResponseStatus.OK, "ok\n")
                : response(HttpResponseStatus.NOT_FOUND, "no such upstream, or no room for more\n");
    }

    private static FullHttpResponse response(HttpResponseStatus status, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        return response;
    }

    /** One connection of a caller. */
    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean responded;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            Channel caller = ctx.channel();
            callers.add(caller);
            caller.closeFuture().addListener(closed -> callers.remove(caller));
            if (callers.size() > MAX_CALLERS) {
                callers.iterator().next().close();
            }
            loop.schedule(() -> caller.close(), CALL_TIMEOUT_MICROS, TimeUnit.MICROSECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (!responded) { // one call per connection; later input is ignored
                responded = true;
                ctx.writeAndFlush(respond(call)).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the caller has disconnected or sent malformed input
        }
    }
}
