package sedgeyoke.proxy.lifecycle;

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
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.InvalidConfigException;

/**
 * Training run for class data sharing, executed by the build only: serves some requests on loopback and exits, so that
 * the JVM can archive the classes that startup needs. Loading them one by one takes most of the processor time of a
 * start, for which a restarted balancer has only part of a core while clients wait.
 */
public final class ClassArchiveTraining {
    private static final int REQUESTS = 200;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final String REPORT = "X-Load-Report: {\"queue\":0,\"waiting\":0,\"cpu\":0.5,\"avg_ms\":9}\r\n";

    private ClassArchiveTraining() {}

    /** Exits with 0 in any case: without a complete archive, startup is slower but works. */
    public static void main(String[] args) {
        try (ServerSocket upstreams = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            thread(() -> accept(upstreams));
            EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
            BalancerConfig config = BalancerConfig.parse(config("127.0.0.1:" + upstreams.getLocalPort()));
            JitWarmUp.run(config, JitWarmUp.MAX_REQUESTS, JitWarmUp.TIMEOUT_SECONDS);
            BalancerServer server = BalancerServer.onSockets(loop, config);
            InetSocketAddress address = server.listen();
            for (int i = 0; i < REQUESTS; i++) {
                expect("200", send(address, i % 3 == 0 ? "read" : i % 3 == 1 ? "update" : "order", i));
            }
            expect("400", send(address, "nonesuch", REQUESTS));
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

    private static String send(InetSocketAddress address, String requestClass, int number) throws IOException {
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(TIMEOUT_MILLIS);
            write(
                    client,
                    "POST /api?obj=k HTTP/1.1\r\nHost: x\r\nX-Call-Id: t-" + number + "\r\nX-Call-Class: "
                            + requestClass
                            + "\r\nX-Budget-Ms: 900\r\nIdempotency-Key: k-" + number + "\r\nConnection: close\r\n"
                            + "Content-Length: 4\r\n\r\nwork");
            return new String(client.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void accept(ServerSocket upstreams) {
        try {
            while (true) {
                Socket socket = upstreams.accept();
                thread(() -> serve(socket, "127.0.0.1:" + upstreams.getLocalPort()));
            }
        } catch (IOException closed) {
            return; // the training has ended
        }
    }

    /** Serves as both discovery and upstream; responds once it has read the head of a request. */
    private static void serve(Socket socket, String address) {
        try (socket;
                InputStream in = socket.getInputStream()) {
            BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.ISO_8859_1));
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.contains("from=")) {
                    Thread.sleep(TIMEOUT_MILLIS);
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

    private static byte[] config(String upstreams) {
        String classFields =
                "\",\"aim-s\":0.5,\"give-up-s\":2,\"memory-span-s\":2,\"dedup-scope\":\"zone\",\"repeat\":\"";
        return ("{\"name\":\"training\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"" + upstreams + "\",\"seed\":\"1\","
                        + "\"limits\":{\"sockets\":1024},\"known\":" + list(upstreams)
                        + ",\"settings\":{\"az\":0,\"group-size\":1,"
                        + "\"localities\":[\"a\"],\"kinds\":[\"k\"],\"classes\":[{\"name\":\"read" + classFields
                        + "free\"},"
                        + "{\"name\":\"update" + classFields + "guarded\"},{\"name\":\"order" + classFields
                        + "single_shot\"}],"
                        + "\"ceilings\":{\"cancel\":true,\"may-duplicate\":true,\"try-limit\":4,\"max-open\":1000,"
                        + "\"conn-idle-s\":1,\"connect-timeout-s\":0.5},\"discovery\":\"pushed\",\"tick-s\":0.005,"
                        + "\"report\":{\"names\":[\"waiting\",\"cpu\",\"avg_ms\"],\"via\":\"piggyback\"}}}")
                .getBytes(StandardCharsets.UTF_8);
    }
}
