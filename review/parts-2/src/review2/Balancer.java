package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One balancer, started as a process of its own with the command {@code run} of the deploy file. */
public final class Balancer implements AutoCloseable {
    private final Path root;
    private final Path folder;
    private final Path config;
    private Process process;

    /** Prepares a balancer; {@code folder} is temporary and holds its configuration, its log and its {@code TMPDIR}. */
    public Balancer(Path root, Path folder, String configuration) throws IOException {
        this.root = root;
        this.folder = folder;
        this.config = folder.resolve("config.json");
        Files.createDirectories(folder.resolve("tmp"));
        Files.writeString(config, configuration);
    }

    /** A loopback port that is free now. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process and waits until its health check says yes. */
    public void start(int port, Map<String, String> environment) throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand())
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("balancer.log").toFile()));
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.environment().putAll(environment);
        process = builder.start();
        awaitHealth(port);
    }

    private String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no run");
    }

    private void awaitHealth(int port) throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end && process.isAlive()) {
            if (healthy(port)) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException("the balancer is not healthy: " + Files.readString(folder.resolve("balancer.log")));
    }

    private static boolean healthy(int port) {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            Http.Head head = Http.readHead(in);
            return head != null && head.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** The process. */
    public Process process() {
        return process;
    }

    /** What the balancer has logged. */
    public String log() throws IOException {
        return Files.readString(folder.resolve("balancer.log"));
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }
}
