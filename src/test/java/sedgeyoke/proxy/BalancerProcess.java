package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A balancer in a process of its own, started as the platform starts it, with its output in a file. */
final class BalancerProcess implements AutoCloseable {
    /**
     * A refused connection fails at once, and nothing announces when the balancer listens, so connecting is retried.
     */
    private static final long CONNECT_RETRY_MILLIS = 1;

    private static final int READ_TIMEOUT_MILLIS = 10_000;

    private final Process process;
    private final Path output;
    private final int port;

    private BalancerProcess(Process process, Path output, int port) {
        this.process = process;
        this.output = output;
        this.port = port;
    }

    /** Starts a balancer that is to listen on {@code port}; does not wait until it does. */
    static BalancerProcess start(Path folder, int port, byte[] config) throws IOException {
        return start(folder, port, config, Map.of());
    }

    /** Starts a balancer as the method above does, with additional environment variables. */
    static BalancerProcess start(Path folder, int port, byte[] config, Map<String, String> environment)
            throws IOException {
        return start(folder, port, config, environment, List.of());
    }

    /** Starts a balancer with options of the JVM. */
    static BalancerProcess startWith(List<String> jvmOptions, Path folder, int port, byte[] config) throws IOException {
        return start(folder, port, config, Map.of(), jvmOptions);
    }

    private static BalancerProcess start(
            Path folder, int port, byte[] config, Map<String, String> environment, List<String> jvmOptions)
            throws IOException {
        String text = new String(config, StandardCharsets.UTF_8)
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"");
        Path file = Files.writeString(folder.resolve("config-" + port + ".json"), text);
        Path output = folder.resolve("output-" + port + ".log");
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(jvmOptions);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "sedgeyoke.serve.BalancerMain"));
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
        builder.environment().putAll(environment);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        return new BalancerProcess(builder.start(), output, port);
    }

    int port() {
        return port;
    }

    Process process() {
        return process;
    }

    String output() throws IOException {
        return Files.readString(output);
    }

    /** Whether the output of the process contains the text. */
    boolean hasLogged(String text) {
        try {
            return output().contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    /** Connects as soon as the balancer accepts connections. */
    Socket connectWhenListening() throws InterruptedException, IOException {
        for (long end = System.nanoTime() + READ_TIMEOUT_MILLIS * 1_000_000L; System.nanoTime() < end; ) {
            try {
                Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                return socket;
            } catch (IOException notYet) {
                Thread.sleep(CONNECT_RETRY_MILLIS);
            }
        }
        return fail("does not listen: " + output());
    }

    void awaitHealthy() throws InterruptedException {
        Loopback.await("healthy", this::healthy);
    }

    private boolean healthy() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            return Loopback.ask(socket, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
