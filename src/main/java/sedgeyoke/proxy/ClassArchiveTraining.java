package sedgeyoke.proxy;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Runs at the build only: serves itself some requests on loopback and ends, so that the JVM can write down which
 * classes a start needs, ready for use. Loading them one by one is most of the processor time of a start, and a
 * balancer that is restarted has part of a core for it while clients wait.
 */
public final class ClassArchiveTraining {
    private static final int REQUESTS = 200;
    private static final int PATIENCE_MS = 2_000;
    private static final String REPORT = "X-Load-Report: {\"queue\":0,\"waiting\":0,\"cpu\":0.5,\"avg_ms\":9}\r\n";

    private ClassArchiveTraining() {}

    /** Ends with 0 whatever happens: without a complete archive a start is slower, and no more than that. */
    public static void main(String[] args) {
        try (ServerSocket peers = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))) {
            thread(() -> accept(peers));
            EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            BalancerConfig config = BalancerConfig.parse(config("127.0.0.1:" + peers.getLocalPort()));
            JitWarmUp.run(config, JitWarmUp.MOST_REQUESTS, JitWarmUp.LONGEST_S);
            BalancerServer server = BalancerServer.onSockets(loop, config);
            InetSocketAddress at = server.listen();
            for (int i = 0; i < REQUESTS; i++) {
                expect("200", ask(at, i % 3 == 0 ? "read" : i % 3 == 1 ? "update" : "order", i));
            }
            expect("400", ask(at, "nonesuch", REQUESTS));
            server.shutDown();
        } catch (InvalidConfigException | IOException | InterruptedException e) {
            System.err.println("training cut short: " + e);
        }
        System.exit(0);
    }

    private static void thread(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    private static void expect(String status, String answer) throws IOException {
        if (!answer.startsWith("HTTP/1.1 " + status)) {
            throw new IOException("not " + status + ": " + answer);
        }
    }

    private static String ask(InetSocketAddress at, String cls, int number) throws IOException {
        try (Socket client = new Socket(at.getAddress(), at.getPort())) {
            client.setSoTimeout(PATIENCE_MS);
            write(
                    client,
                    "POST /api?obj=k HTTP/1.1\r\nHost: x\r\nX-Call-Id: t-" + number + "\r\nX-Call-Class: " + cls
                            + "\r\nX-Budget-Ms: 900\r\nIdempotency-Key: k-" + number + "\r\nConnection: close\r\n"
                            + "Content-Length: 4\r\n\r\nwork");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void accept(ServerSocket peers) {
        try {
            while (true) {
                Socket socket = peers.accept();
                thread(() -> serve(socket, "127.0.0.1:" + peers.getLocalPort()));
            }
        } catch (IOException closed) {
            return; // the training is over
        }
    }

    /** Discovery and an upstream in one; it answers a request once its head has come. */
    private static void serve(Socket socket, String address) {
        try (socket;
                InputStream in = socket.getInputStream()) {
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.contains("from=")) {
                    Thread.sleep(PATIENCE_MS);
                }
                if (line.contains("/catalog") || line.contains("/api")) {
                    String body = line.contains("/api") ? "done" : list(address);
                    write(
                            socket,
                            "HTTP/1.1 200 OK\r\n" + REPORT + "Content-Length: " + body.length() + "\r\n\r\n" + body);
                }
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // the balancer has closed the connection
        }
    }

    private static String list(String address) {
        return "{\"revision\":1,\"complete\":true,\"members\":[{\"id\":\"u\",\"host_port\":\"" + address
                + "\",\"locality\":\"a\",\"flavor\":\"k\",\"cell\":1,\"phase\":\"up\",\"size\":1.0,"
                + "\"up_since_ms\":0}]}";
    }

    private static byte[] config(String peers) {
        String cls = "\",\"aim-s\":0.5,\"give-up-s\":2,\"memory-span-s\":2,\"dedup-scope\":\"zone\",\"repeat\":\"";
        return ("{\"name\":\"training\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + peers + "\",\"seed\":\"1\","
                        + "\"limits\":{\"sockets\":1024},\"known\":" + list(peers)
                        + ",\"settings\":{\"az\":0,\"group-size\":1,"
                        + "\"localities\":[\"a\"],\"kinds\":[\"k\"],\"classes\":[{\"name\":\"read" + cls + "free\"},"
                        + "{\"name\":\"update" + cls + "guarded\"},{\"name\":\"order" + cls + "single_shot\"}],"
                        + "\"ceilings\":{\"cancel\":true,\"may-duplicate\":true,\"try-limit\":4,\"max-open\":1000,"
                        + "\"conn-idle-s\":1,\"connect-timeout-s\":0.5},\"discovery\":\"pushed\",\"tick-s\":0.005,"
                        + "\"report\":{\"names\":[\"waiting\",\"cpu\",\"avg_ms\"],\"via\":\"piggyback\"}}}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
