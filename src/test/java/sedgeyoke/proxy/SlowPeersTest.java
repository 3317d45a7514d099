package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static sedgeyoke.proxy.LongBodies.MB;
import static sedgeyoke.proxy.LongBodies.bytes;
import static sedgeyoke.proxy.LongBodies.upload;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.BodyLimits;

/** Many long bodies at once whose receivers read nothing for a while. */
class SlowPeersTest {
    private static final int TRANSFERS = 24;
    private static final int SHORT_REQUESTS = 5;
    private static final int SHORT_BUDGET_MILLIS = 1_500;
    private static final int LONG_BUDGET_MILLIS = 10_000;
    /** Small, so that the balancer has to hold a part of each body. */
    private static final int RECEIVE_BUFFER_BYTES = 8 * 1024;

    private static final byte[] LONG_BODY = bytes(MB);
    /** More than the kernel buffers on the way to a receiver that does not read. */
    private static final byte[] STALLED_BODY = new byte[10 * MB];
    /** Less direct memory than a read of 64 KiB for each of {@link #TRANSFERS}. */
    private static final List<String> LOW_MEMORY = List.of(
            "-XX:MaxDirectMemorySize=768k", "-Dio.netty.allocator.type=unpooled", "-Dio.netty.noPreferDirect=true");

    private static final long SHORT_STALL_MICROS = 1_000_000;
    /** 256,000 bytes a second: a third of the largest send buffer takes longer than {@link #SHORT_STALL_MICROS}. */
    private static final int SLOW_READ_BYTES = 5_120;

    private static final int SLOW_READ_MILLIS = 20;

    private static final int CEILING_BYTES = 64 * 1024;
    private static final int TOTAL_BYTES = MB;
    private static final BodyLimits SMALL_TOTAL = new BodyLimits(
            true, CEILING_BYTES, TOTAL_BYTES, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 30, 64 * 1024, 0, 30_000_000);

    private static final BodyLimits SHORT_STALL = new BodyLimits(
            true,
            CEILING_BYTES,
            8L * MB,
            0,
            1_000_000,
            30_000_000,
            SHORT_STALL_MICROS,
            1L << 30,
            0,
            0,
            SHORT_STALL_MICROS);

    @TempDir
    private Path folder;

    private final List<Socket> clients = new ArrayList<>();

    /**
     * Guards against transfers that keep direct memory while their receiver does not read: once it is all taken, each
     * read blocks the event loop for half a second, and requests of other clients get no answer.
     */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void shortRequestsAreAnsweredWhileManyLongBodiesWaitForTheirReceivers(boolean uploading) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        try (StallingUpstream upstream = new StallingUpstream(end);
                ListedUpstreams listed = new ListedUpstreams(Loopback.member("u", upstream.address(), "up"));
                BalancerProcess balancer = listed.startWith(LOW_MEMORY, folder)) {
            balancer.awaitHealthy();
            for (int i = 0; i < TRANSFERS; i++) {
                int wanted = i + 1;
                begin(balancer.port(), "long" + i, uploading);
                Loopback.await("the long request has begun", () -> upstream.begun.get() == wanted);
            }
            Thread.sleep(
                    300); // until the kernel's buffers are full; responses to clients that don't read end after 3 s
            for (int i = 0; i < SHORT_REQUESTS; i++) {
                Socket client = connect(balancer.port());
                long start = System.nanoTime();
                assertEquals(
                        200,
                        Loopback.ask(client, Loopback.request("short" + i, "order", SHORT_BUDGET_MILLIS))
                                .status());
                long millis = (System.nanoTime() - start) / 1_000_000;
                assertTrue(millis < SHORT_BUDGET_MILLIS, "answered after " + millis + " ms");
            }
            assertTrue(!balancer.hasLogged("OutOfMemoryError"), balancer.output());
        } finally {
            end.countDown();
            for (Socket client : clients) {
                client.close();
            }
        }
    }

    /** Guards against responses that take memory without a limit, and against some that starve for want of it. */
    @Test
    void responsesBeyondTheBudgetAreServedCompletelyWithSmallerBuffers() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: " + LONG_BODY.length + "\r\n\r\n");
                    socket.getOutputStream().write(LONG_BODY);
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(SMALL_TOTAL)
                        .start()) {
            for (int i = 0; i < TRANSFERS; i++) {
                int wanted = i + 1;
                begin(lb.address.getPort(), "long" + i, false);
                Loopback.await("the long request has begun", () -> upstream.requests.size() == wanted);
            }
            Loopback.awaitStill(1, () -> lb.budget(budget -> budget.reservedBytes()));
            long guaranteed = lb.budget(budget -> budget.guaranteedBytes());
            long reserved = lb.budget(budget -> budget.reservedBytes());
            assertTrue(reserved <= TOTAL_BYTES / 2 + TRANSFERS * guaranteed, "reserved " + reserved);
            for (Socket client : clients) {
                assertArrayEquals(LONG_BODY, Loopback.answer(client).raw());
                client.close();
            }
            Loopback.await("all memory is released", () -> lb.server.reservedForBodies() == 0);
        }
    }

    /**
     * Guards against cutting off a client that reads all the time: the kernel reports room for more only once a third
     * of its buffer is free, which takes such a client longer than a stall may last.
     */
    @Test
    void aResponseToAClientThatReadsSlowlyIsNotCutOff() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(
                            socket, "HTTP/1.1 200 x\r\nContent-Length: " + STALLED_BODY.length + "\r\n\r\n");
                    socket.getOutputStream().write(STALLED_BODY);
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(SHORT_STALL)
                        .start();
                Socket client = lb.connect()) {
            ScriptedServer.write(client, Loopback.request("slow", "read", LONG_BUDGET_MILLIS));
            InputStream in = client.getInputStream();
            long slowUntil = System.nanoTime() + 5 * SHORT_STALL_MICROS * 1_000;
            long got = 0;
            while (System.nanoTime() < slowUntil) {
                got += Math.max(0, in.read(new byte[SLOW_READ_BYTES]));
                Thread.sleep(SLOW_READ_MILLIS);
            }
            while (got < STALLED_BODY.length) {
                int length = in.read(new byte[CEILING_BYTES]);
                if (length < 0) {
                    break;
                }
                got += length;
            }
            assertTrue(got >= STALLED_BODY.length, "cut off after " + got + " bytes");
        }
    }

    /** Guards against clients that keep a response for as long as they like. */
    @Test
    void aClientThatStopsReadingIsStillDisconnected() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((request, socket) -> {
                    ScriptedServer.write(
                            socket, "HTTP/1.1 200 x\r\nContent-Length: " + STALLED_BODY.length + "\r\n\r\n");
                    socket.getOutputStream().write(STALLED_BODY);
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(SHORT_STALL)
                        .start();
                Socket client = connect(lb.address.getPort())) {
            ScriptedServer.write(client, Loopback.request("silent", "read", LONG_BUDGET_MILLIS));
            Loopback.await("the response has begun", () -> upstream.requests.size() == 1);
            Loopback.await("the connection is closed", () -> lb.server.clients() == 0);
        }
    }

    private Socket connect(int port) throws IOException {
        Socket client = new Socket();
        client.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        client.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        client.setSoTimeout(LONG_BUDGET_MILLIS);
        clients.add(client);
        return client;
    }

    /** Begins a request whose body or response is long; nothing of the response is read for now. */
    private void begin(int port, String id, boolean uploading) throws IOException {
        Socket client = connect(port);
        if (!uploading) {
            ScriptedServer.write(
                    client, Loopback.request(id, "read", LONG_BUDGET_MILLIS).replace("obj=o1", "obj=long"));
            return;
        }
        ScriptedServer.write(client, upload(id, "order", "Content-Length: " + STALLED_BODY.length));
        new Thread(() -> {
                    try {
                        client.getOutputStream().write(STALLED_BODY);
                    } catch (IOException e) {
                        return; // the test has ended
                    }
                })
                .start();
    }

    /** Answers requests, except that it reads no more than the head of a long body. */
    private static final class StallingUpstream extends LoopbackServer {
        private final CountDownLatch end;
        private final AtomicInteger begun = new AtomicInteger();

        StallingUpstream(CountDownLatch end) throws IOException {
            this.end = end;
            start();
        }

        @Override
        void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                    if (head.contains("content-length: " + STALLED_BODY.length)) {
                        begun.incrementAndGet();
                        end.await();
                        return;
                    }
                    if (head.contains("obj=long")) {
                        begun.incrementAndGet();
                        ScriptedServer.write(
                                socket, "HTTP/1.1 200 x\r\nContent-Length: " + STALLED_BODY.length + "\r\n\r\n");
                        socket.getOutputStream().write(STALLED_BODY);
                    } else {
                        in.readNBytes("work".length());
                        ScriptedServer.reply(socket, 200, "x");
                    }
                }
            } catch (IOException | InterruptedException e) {
                return; // the test has ended
            }
        }

        private static String readHead(InputStream in) throws IOException {
            StringBuilder head = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                head.append((char) next);
                if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                    return head.toString();
                }
            }
            return "";
        }
    }
}
