package sedgeyoke.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import sedgeyoke.proxy.common.Transport;
import sedgeyoke.proxy.exchange.Attempt;
import sedgeyoke.proxy.exchange.AttemptOutcomes;
import sedgeyoke.proxy.exchange.RequestBody;

/**
 * Writes the request body of one attempt to an upstream part by part, as the client sends it. The client is asked to
 * pause while the connection's write buffer is full. Event loop only.
 */
final class RequestUpload implements RequestBody.Sink {
    private final UpstreamConnection connection;
    private final Channel channel;
    private final UpstreamContext context;
    private final Attempt attempt;

    RequestUpload(UpstreamConnection connection, Channel channel, UpstreamContext context, Attempt attempt) {
        this.connection = connection;
        this.channel = channel;
        this.context = context;
        this.attempt = attempt;
    }

    /** Asks the client for more, as the connection's write buffer has room again. */
    void resume() {
        attempt.exchange().body().demand();
    }

    /** Detaches from the body after the end of the attempt; the rest of the body is discarded. */
    void detach() {
        attempt.exchange().body().detach(this);
    }

    @Override
    public boolean forward(ByteBuf data) {
        ByteBuf part = Transport.compactIfWaiting(channel, data);
        channel.writeAndFlush(new DefaultHttpContent(part)).addListener(this::failIfUnwritten);
        context.bodyBudget()
                .recordBuffered(Transport.pendingBytes(channel)
                        + attempt.exchange().body().bufferedBytes());
        return channel.isWritable();
    }

    @Override
    public void end() {
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(written -> {
            if (written.isSuccess() && connection.carries(attempt)) {
                context.listener().requestWritten(attempt);
                context.listener().requestBodyComplete(attempt);
            } else {
                failIfUnwritten(written);
            }
        });
    }

    @Override
    public void abort() {
        channel.close();
    }

    /** Ends the attempt if a part could not be written; the outcome depends on whether the last byte was. */
    private void failIfUnwritten(Future<? super Void> written) {
        if (!written.isSuccess() && connection.carries(attempt)) {
            channel.close();
            connection.fail(AttemptOutcomes.afterConnectionLoss(attempt));
        }
    }
}
