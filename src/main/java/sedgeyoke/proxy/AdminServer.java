package sedgeyoke.proxy;

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

/**
 * The door for operators (DAYS, "A door for operators"): HTTP/1.1, one call a connection, a 2xx for yes. It runs on the
 * balancer's loop, so that each answer is of one moment. Callers that never finish their call take a place each, of a
 * few, and the oldest of them makes way.
 */
final class AdminServer {
    private static final int MOST_CALLERS = 32;
    private static final int LONGEST_CALL = 4_096;
    private static final int LONGEST_ID = 256;
    private static final long CALL_WITHIN_MS = 3_000;

    private final EventLoop loop;
    private final Transport transport;
    private final Operations operations;
    private final Set<Channel> callers = new LinkedHashSet<>();

    /** What operators may ask for. */
    interface Operations {
        /** Whether clients are taken. */
        boolean healthy();

        /** The figures as text. */
        String figures();

        /** Takes an upstream out of service or gives it back; false for an id that nobody has. */
        boolean cordon(String id, boolean out);
    }

    AdminServer(EventLoop loop, Transport transport, Operations operations) {
        this.loop = loop;
        this.transport = transport;
        this.operations = operations;
    }

    ChannelFuture bind(InetSocketAddress at) {
        return transport
                .server(loop)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(LONGEST_CALL), new Caller());
                    }
                })
                .bind(transport.at(at));
    }

    private FullHttpResponse answer(FullHttpRequest call) {
        String path = new QueryStringDecoder(call.uri()).rawPath();
        boolean set = path.equals("/admin/cordon") || path.equals("/admin/uncordon");
        boolean get = path.equals("/admin/health") || path.equals("/admin/stats");
        if (call.decoderResult().isFailure()) {
            return response(HttpResponseStatus.BAD_REQUEST, "malformed call\n");
        } else if (!set && !get) {
            return response(HttpResponseStatus.NOT_FOUND, "no such call\n");
        } else if (!call.method().equals(set ? HttpMethod.POST : HttpMethod.GET)) {
            return response(HttpResponseStatus.METHOD_NOT_ALLOWED, (set ? "POST" : "GET") + " it\n");
        } else if (set) {
            return cordon(call.content().toString(StandardCharsets.UTF_8).strip(), path.equals("/admin/cordon"));
        } else if (path.equals("/admin/stats")) {
            return response(HttpResponseStatus.OK, operations.figures());
        }
        return operations.healthy()
                ? response(HttpResponseStatus.OK, "ok\n")
                : response(HttpResponseStatus.SERVICE_UNAVAILABLE, "takes no clients\n");
    }

    private FullHttpResponse cordon(String id, boolean out) {
        if (id.isEmpty() || id.length() > LONGEST_ID || id.chars().anyMatch(c -> c <= ' ')) {
            return response(HttpResponseStatus.BAD_REQUEST, "the body is the id of an upstream\n");
        }
        return operations.cordon(id, out)
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

    /** One connection. */
    private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
        private boolean answered;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            Channel caller = ctx.channel();
            callers.add(caller);
            caller.closeFuture().addListener(closed -> callers.remove(caller));
            if (callers.size() > MOST_CALLERS) {
                callers.iterator().next().close();
            }
            loop.schedule(() -> caller.close(), CALL_WITHIN_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (!answered) { // one call a connection; what comes behind it is not read
                answered = true;
                ctx.writeAndFlush(answer(call)).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close(); // the caller has gone, or sends what cannot be read
        }
    }
}
