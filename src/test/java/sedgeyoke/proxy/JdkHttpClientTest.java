package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import sedgeyoke.body.BodyLimits;

/**
 * Compatibility with the JDK's HTTP client: it offers an upgrade to HTTP/2, sends chunked bodies, and waits for 100
 * Continue.
 */
class JdkHttpClientTest {
    private static final BodyLimits LIMITS = new BodyLimits(
            true, 64 * 1024, 8L << 20, 1_000, 1_000_000, 30_000_000, 5_000_000, 1L << 40, 0, 0, 5_000_000);

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static HttpRequest.Builder request(Loopback lb, String id) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + lb.address.getPort() + "/api?obj=o"))
                .timeout(Duration.ofSeconds(20))
                .header("X-Call-Id", id)
                .header("X-Call-Class", "order")
                .header("X-Budget-Ms", "20000"); // completeness matters here, not speed
    }

    /** Answers with the request body, twice. */
    private static ScriptedServer echo() throws Exception {
        return new ScriptedServer((request, socket) -> {
            byte[] body = request.raw();
            ScriptedServer.write(socket, "HTTP/1.1 200 x\r\nContent-Length: " + 2 * body.length + "\r\n\r\n");
            socket.getOutputStream().write(body);
            socket.getOutputStream().write(body);
        });
    }

    @ParameterizedTest
    @CsvSource({
        "HTTP_2, 100, true, false",
        "HTTP_1_1, 100, false, false",
        "HTTP_1_1, 3000000, true, false",
        "HTTP_1_1, 3000000, false, false",
        "HTTP_1_1, 3000000, true, true",
        "HTTP_1_1, 3000000, false, true"
    })
    void requestAndResponseAreComplete(HttpClient.Version version, int length, boolean declared, boolean expects)
            throws Exception {
        byte[] sent = bytes(length);
        byte[] wanted = new byte[2 * length];
        System.arraycopy(sent, 0, wanted, 0, length);
        System.arraycopy(sent, 0, wanted, length, length);
        try (ScriptedServer upstream = echo();
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(LIMITS)
                        .start()) {
            HttpClient client = HttpClient.newBuilder().version(version).build();
            for (int i = 0; i < 3; i++) {
                HttpResponse<byte[]> got = client.send(
                        request(lb, "id-" + i)
                                .expectContinue(expects)
                                .POST(
                                        declared
                                                ? BodyPublishers.ofByteArray(sent)
                                                : BodyPublishers.ofInputStream(() -> new ByteArrayInputStream(sent)))
                                .build(),
                        BodyHandlers.ofByteArray());
                assertEquals(200, got.statusCode());
                assertArrayEquals(wanted, got.body());
            }
            assertEquals(3, upstream.requests.size(), "each ran once");
        }
    }

    @Test
    void concurrentClientsGetTheirOwnResponses() throws Exception {
        try (ScriptedServer upstream = echo();
                Loopback lb = Loopback.setup()
                        .upstream("u", upstream.address())
                        .bodies(LIMITS)
                        .start()) {
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            List<CompletableFuture<HttpResponse<byte[]>>> all = new ArrayList<>();
            int many = 24;
            for (int i = 0; i < many; i++) {
                byte[] sent = bytes(1_000 + 9_973 * i);
                all.add(client.sendAsync(
                        request(lb, "id-" + i)
                                .POST(BodyPublishers.ofByteArray(sent))
                                .build(),
                        BodyHandlers.ofByteArray()));
            }
            for (int i = 0; i < many; i++) {
                byte[] got = all.get(i).get().body();
                byte[] sent = bytes(1_000 + 9_973 * i);
                assertEquals(200, all.get(i).get().statusCode());
                assertArrayEquals(sent, java.util.Arrays.copyOf(got, sent.length));
                assertEquals(2 * sent.length, got.length);
            }
        }
    }
}
