package sedgeyoke.proxy.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyLimits;
import sedgeyoke.proxy.common.HeaderMemory;
import sedgeyoke.proxy.exchange.RejectionReason;

/** Each kind of invalid request is rejected with its own reason, and a valid one is passed on. */
class RequestValidatorTest {
    private static final RequestValidator.DecodingGate OPEN = new RequestValidator.DecodingGate() {
        @Override
        public boolean isClosed() {
            return false;
        }

        @Override
        public void handBack(ByteBuf rest) {
            throw new IllegalStateException("the gate is open");
        }
    };

    private static final int MAX_BODY_BYTES = 100;

    /** The first message that is passed up the pipeline for these bytes. */
    private static Object firstMessage(String bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(
                new RequestValidator.Decoder(
                        MAX_BODY_BYTES, OPEN, new HeaderMemory(new BodyBudget(BodyLimits.PLATFORM))),
                new RequestValidator(head -> null, MAX_BODY_BYTES));
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
        Object first = channel.readInbound();
        channel.finishAndReleaseAll();
        return first;
    }

    @ParameterizedTest
    @CsvSource({
        "GET /api HTTP/2.0, UNSUPPORTED_VERSION, 505",
        "GET /api HTTP/1.1|Expect: tea, UNSUPPORTED_EXPECTATION, 417",
        "'POST /api HTTP/1.1|Transfer-Encoding: gzip, chunked', UNSUPPORTED_TRANSFER_CODING, 400",
        "POST /api HTTP/1.1|Content-Length: 101, BODY_TOO_LARGE, 413",
        "POST /api HTTP/1.1|Content-Length: 1|Transfer-Encoding: chunked, MALFORMED_MESSAGE, 400",
    })
    void anInvalidHeadIsRejectedForItsReason(String head, RejectionReason reason, int status) {
        Object first = firstMessage(head.replace("|", "\r\n") + "\r\n\r\n");
        RequestValidator.Rejection rejection = assertInstanceOf(RequestValidator.Rejection.class, first);
        assertEquals(reason, rejection.reason());
        assertEquals(status, rejection.reason().status().code());
    }

    @Test
    void aLongUriAndLongHeadersAreRejectedForDifferentReasons() {
        String longText = "x".repeat(10_000);
        Object uri = firstMessage("GET /" + longText + " HTTP/1.1\r\n\r\n");
        Object headers = firstMessage("GET /api HTTP/1.1\r\nA: " + longText + "\r\n\r\n");
        assertEquals(
                RejectionReason.URI_TOO_LONG,
                assertInstanceOf(RequestValidator.Rejection.class, uri).reason());
        assertEquals(
                RejectionReason.HEADERS_TOO_LARGE,
                assertInstanceOf(RequestValidator.Rejection.class, headers).reason());
    }

    @Test
    void aValidHeadIsPassedOn() {
        Object first = firstMessage("GET /api HTTP/1.1\r\n\r\n");
        assertNotNull(first);
        assertInstanceOf(HttpRequest.class, first);
        ReferenceCountUtil.release(first);
    }
}
