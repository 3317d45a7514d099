package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Locale;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.body.BodyLimits;

/**
 * Shared by the tests that compare everything that a balancer sends, byte for byte, with recordings in {@code
 * src/test/resources/wire}.
 */
abstract class WireBytesTestBase {
    static final BodyLimits STREAMING =
            new BodyLimits(true, 64 * 1024, 8L << 20, 0, 1_000_000, 30_000_000, 30_000_000, 1L << 20, 0, 0, 30_000_000);
    /** Longer than the part of a body that is buffered. */
    static final String LONG_BODY = "b".repeat(100_000);

    static final String OK = RawServer.response(200, "done", "Content-Type: text/x-result");
    static final String REJECTED = RawServer.response(503, "", "X-Rejected: 1");
    static final String FAILED = RawServer.response(500, "broken");

    static final String HEAD = "Host: origin.svc\r\nX-Call-Id: id-1\r\nX-Call-Class: order\r\n";
    static final String BUDGET = "X-Budget-Ms: 1900\r\n";

    @TempDir
    Path folder;

    final WireTranscript transcript = new WireTranscript();

    /** Sets up a balancer in front of these upstreams, named u0, u1 and so on. */
    static Loopback.Setup before(RawServer... upstreams) {
        Loopback.Setup setup = Loopback.setup();
        for (int index = 0; index < upstreams.length; index++) {
            setup.upstream("u" + index, upstreams[index].address());
        }
        return setup;
    }

    /** Returns a request with a body; {@code headers} are complete lines. */
    static String post(String headers, String body) {
        return "POST /api?obj=o1&x=%20y HTTP/1.1\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /**
     * Sends a request on a new connection and adds the response. If that announces the end of the connection, it must
     * end.
     */
    void exchange(Loopback balancer, String name, String request) throws IOException {
        try (Socket client = balancer.connect()) {
            ScriptedServer.write(client, request);
            transcript.add(name, readResponse(client));
        }
    }

    /** Like {@link #exchange}, with a balancer of its own: one that has forwarded an id does not forward it again. */
    void exchangeAlone(Loopback.Setup setup, String name, String request) throws Exception {
        try (Loopback balancer = setup.start()) {
            exchange(balancer, name, request);
        }
    }

    /** Reads a response, and the end of the connection if the response announces that. */
    static String readResponse(Socket client) throws IOException {
        InputStream in = new BufferedInputStream(client.getInputStream());
        String response = RawMessages.read(in);
        if (response.toLowerCase(Locale.ROOT).contains("\r\nconnection: close\r\n")) {
            assertEquals(-1, in.read(), "the end of the connection");
            return response + "\r\n<end of the connection>";
        }
        return response;
    }

    /** Sends a request that must be served. */
    static void assertServed(Loopback balancer, String request) throws IOException {
        try (Socket client = balancer.connect()) {
            assertEquals(200, Loopback.ask(client, request).status());
        }
    }

    /** Sends a request to the admin endpoint and adds the response. */
    void call(Loopback balancer, String name, String request) throws IOException {
        InetSocketAddress admin = balancer.adminAddress;
        try (Socket caller = new Socket(admin.getAddress(), admin.getPort())) {
            caller.setSoTimeout(10_000);
            ScriptedServer.write(caller, request);
            transcript.add(name, readResponse(caller));
        }
    }
}
