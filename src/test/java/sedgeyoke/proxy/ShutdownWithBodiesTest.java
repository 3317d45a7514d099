package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import sedgeyoke.body.BodyLimits;

/** Graceful shutdown while bodies are being streamed: they are completed if possible, and otherwise aborted cleanly. */
class ShutdownWithBodiesTest {
    private static final BodyLimits LIMITS =
            new BodyLimits(true, 64 * 1024, 8L << 20, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 40, 0, 0, 30_000_000);
    private static final int LENGTH = 400_000;
    private static final int HALF = LENGTH / 2;

    private static String upload(String id) {
        return "POST /api?obj=o HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: order\r\n"
                + "X-Budget-Ms: 60000\r\nContent-Length: " + LENGTH + "\r\n\r\n";
    }

    /**
     * A node that responds to an upload with its length, and to another request with a long body in two halves, the
     * second after {@code second} is released.
     */
    private static ScriptedServer node(CountDownLatch second) throws Exception {
        return new ScriptedServer((request, socket) -> {
            if (request.raw().length > 10) {
                ScriptedServer.reply(socket, 200, "" + request.raw().length);
                return;
            }
            ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: " + LENGTH + "\r\n\r\n");
            socket.getOutputStream().write(new byte[HALF]);
            second.await();
            socket.getOutputStream().write(new byte[HALF]);
        });
    }

    private static Thread startShutdown(Loopback lb) throws InterruptedException {
        Thread end = new Thread(lb.server::shutDown);
        end.start();
        Loopback.await("draining", () -> lb.health() == 503);
        return end;
    }

    @Test
    void bodiesInFlightAreCompletedDuringShutdown() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        try (ScriptedServer upstream = node(second);
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(LIMITS)
                        .start()) {
            Loopback.await("ready", () -> lb.health() == 200);
            Socket down = lb.connect();
            ScriptedServer.write(down, Loopback.request("down", "order", 60_000));
            InputStream answer = new BufferedInputStream(down.getInputStream());
            answer.mark(1);
            assertEquals('H', answer.read(), "the response has begun");
            answer.reset();
            Socket sending = lb.connect();
            ScriptedServer.write(sending, upload("up"));
            sending.getOutputStream().write(new byte[HALF]);
            Loopback.await("the upload is being forwarded", () -> upstream.sockets.size() == 2);
            Thread end = startShutdown(lb);
            second.countDown();
            sending.getOutputStream().write(new byte[HALF]);
            assertEquals("" + LENGTH, Loopback.answer(sending).body());
            assertArrayEquals(new byte[LENGTH], ScriptedServer.read(answer).raw());
            down.close();
            sending.close();
            end.join(10_000);
            assertFalse(end.isAlive());
        }
    }

    /**
     * Neither body can be completed: each client gets one response before the process is killed, and the shutdown
     * completes.
     */
    @Test
    void bodiesThatCannotBeCompletedAreAborted() throws Exception {
        CountDownLatch never = new CountDownLatch(1);
        try (ScriptedServer upstream = node(never);
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(LIMITS)
                        .setting("\"give-up-s\":2", "\"give-up-s\":0.3")
                        .start()) {
            Loopback.await("ready", () -> lb.health() == 200);
            Socket down = lb.connect();
            ScriptedServer.write(down, Loopback.request("down", "order", 60_000));
            InputStream answer = new BufferedInputStream(down.getInputStream());
            assertEquals('H', answer.read());
            Socket sending = lb.connect();
            ScriptedServer.write(sending, upload("up"));
            sending.getOutputStream().write(new byte[HALF]);
            Loopback.await("the upload is being forwarded", () -> upstream.sockets.size() == 2);
            Thread end = startShutdown(lb);
            assertEquals(
                    503, Loopback.answer(sending).status(), "its last byte was never sent, so it was not executed");
            byte[] got = answer.readAllBytes();
            assertTrue(got.length < LENGTH, "the client can tell that it is truncated: " + got.length);
            assertTrue(new String(got, 0, 200, StandardCharsets.ISO_8859_1).contains("" + LENGTH));
            down.close();
            sending.close();
            end.join(10_000);
            assertFalse(end.isAlive());
            assertEquals(1, upstream.requests.size(), "the upload was not executed");
        }
    }
}
