import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What all cases share: the record, free loopback ports, the balancer as a process of its own (started by {@code run}
 * of the deploy file), signals to processes that the case started, and small HTTP messages. JDK only.
 */
public final class Rig implements Closeable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    final Path root;
    final Path temp;
    final boolean trouble;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    Rig(Path root, Path record, Path temp) throws IOException {
        this.root = root;
        this.temp = temp;
        this.trouble = !"0".equals(System.getenv("TROUBLE"));
        this.record = new PrintWriter(Files.newBufferedWriter(record), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Milliseconds since the start of the case. */
    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line with the time to the record. */
    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    }

    // ---- Processes -----------------------------------------------------------------------------------

    /** A port that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** The command {@code run} of the deploy file. */
    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            Matcher run = Pattern.compile("^run = \"(.*)\"$").matcher(line);
            if (run.matches()) {
                return run.group(1);
            }
        }
        throw new IOException("no run in deploy/balancer.toml");
    }

    /** Starts the balancer with this configuration and waits until its health check says yes. */
    Process startBalancer(String name, int port, String config) throws IOException, InterruptedException {
        Path file = temp.resolve(name + ".json");
        Files.writeString(file, config);
        Path folder = Files.createDirectories(temp.resolve("tmp-" + name));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
        builder.directory(root.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().remove("SEDGEYOKE_OPERATOR");
        builder.redirectErrorStream(true).redirectOutput(temp.resolve(name + ".log").toFile());
        Process process = start(builder);
        for (int i = 0; i < 300; i++) {
            if (!process.isAlive()) {
                throw new IOException("the balancer ended: " + Files.readString(temp.resolve(name + ".log")));
            }
            try (Socket socket = connect(port, 0)) {
                socket.setSoTimeout(1_000);
                write(socket, "GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
                if (readHead(socket.getInputStream()).startsWith("HTTP/1.1 200")) {
                    note("balancer " + name + " is ready, pid " + process.pid());
                    return process;
                }
            } catch (IOException notYet) {
                // not listening yet
            }
            Thread.sleep(100);
        }
        throw new IOException("the balancer was not ready within 30 s");
    }

    /** Starts a process that {@link #close} ends. */
    synchronized Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Sends a signal to a process that this case started. */
    static void signal(String signal, Process process) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    private synchronized void endProcesses() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Starts order node ID as a process of its own; its lines go to the record, and to {@code lines}. */
    Process startUpstream(String id, int port, long answerBytes, Consumer<String> lines) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                "java",
                "-XX:TieredStopAtLevel=1",
                "-Xmx192m",
                "-cp",
                System.getProperty("java.class.path"),
                "Upstream",
                id,
                String.valueOf(port),
                String.valueOf(answerBytes),
                "20");
        Process process = start(builder.redirectError(temp.resolve(id + ".err").toFile()));
        CountDownLatch listening = new CountDownLatch(1);
        daemon(() -> {
            try (BufferedReader reader =
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    note(id + " " + line);
                    lines.accept(line);
                    listening.countDown(); // its first line says that it listens
                }
            } catch (IOException e) {
                note(id + " has ended");
            }
        });
        try {
            if (!listening.await(20, TimeUnit.SECONDS)) {
                throw new IOException(id + " does not listen");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return process;
    }

    /** Adds the balancer's log to the record. */
    void noteLog(String name) throws IOException {
        synchronized (this) {
            record.println("---- log of balancer " + name);
            List<String> lines = Files.readAllLines(temp.resolve(name + ".log"));
            lines.stream().limit(200).forEach(record::println);
        }
    }

    @Override
    public void close() {
        endProcesses();
        record.flush();
    }

    // ---- Configuration -------------------------------------------------------------------------------

    /** One entry of discovery's list. */
    static String member(String id, int port) {
        return member(id, port, "kagoshima", "up");
    }

    static String member(String id, int port, String zone, String phase) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + port + "\",\"locality\":\"" + zone
                + "\",\"flavor\":\"fast-2core\",\"cell\":1,\"phase\":\"" + phase
                + "\",\"size\":1.0,\"up_since_ms\":0}";
    }

    static String list(long revision, boolean complete, List<String> members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
                + String.join(",", members) + "]}";
    }

    /**
     * A configuration with the figures of intraday-south and the limits of the scored days; {@code ops} is the port for
     * operators, or 0 for none.
     */
    static String config(String name, int port, int discovery, int ops, List<String> members) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:" + discovery
                + "\"," + (ops == 0 ? "" : "\"ops\":\"127.0.0.1:" + ops + "\",")
                + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":" + list(1, true, members) + ",\"settings\":{\"az\":0,\"group-size\":1,\"position\":0,"
                + "\"localities\":[\"kagoshima\",\"miyazaki\",\"oita\"],\"kinds\":[\"fast-2core\",\"slow-2core\"],"
                + "\"discovery\":\"pushed\",\"tick-s\":0.005,\"weights\":\"silent\",\"counted-by\":\"request\","
                + "\"extra\":{\"warm-keys\":true},\"clients\":{\"marks-retry\":true},\"family\":\"proxy\",\"layer\":0,"
                + "\"stages\":[\"order-nodes\"],\"parties\":[],\"over-share-worth\":0.1,"
                + "\"report\":{\"names\":[\"waiting\",\"cpu\",\"avg_ms\"],\"via\":\"piggyback\"},"
                + "\"prices\":{\"cross-zone\":0.06,\"late-fail\":0.05,\"waste\":0.02},"
                + "\"ceilings\":{\"cancel\":true,\"conn-idle-s\":10.0,\"connect-timeout-s\":0.12,"
                + "\"cpu-us-per-request\":0.0,\"cpu-us-per-s\":500000,\"max-open\":20000,\"max-retry-after-s\":1.2,"
                + "\"may-duplicate\":true,\"multiplex\":1,\"peers\":false,\"probes\":false,\"retry-after\":false,"
                + "\"try-limit\":4},"
                + "\"rules\":{\"answer-slack-s\":0.02,\"ask-within-s\":10.0,\"cold-s\":9.0,\"drain-grace-s\":1.0,"
                + "\"fall-multiple\":4.0,\"fall-s\":1.5,\"start-capacity\":0.32},"
                + "\"classes\":[{\"aim-s\":0.25,\"dedup-scope\":\"zone\",\"give-up-s\":0.5,\"late-worth\":0.0,"
                + "\"memory-span-s\":2.5,\"name\":\"position-update\",\"repeat\":\"guarded\",\"stream\":false,"
                + "\"worth\":10.0},{\"aim-s\":0.8,\"dedup-scope\":\"all\",\"give-up-s\":2.5,\"late-worth\":0.0,"
                + "\"memory-span-s\":5.0,\"name\":\"trade-confirm\",\"repeat\":\"single_shot\",\"stream\":false,"
                + "\"worth\":30.0}]}}";
    }

    // ---- HTTP ----------------------------------------------------------------------------------------

    /** Connects to a loopback port; {@code receiveBuffer} is 0 for the system's default. */
    static Socket connect(int port, int receiveBuffer) throws IOException {
        Socket socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(LOOPBACK, port), 1_000);
        return socket;
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** The head of a trade-confirm: unsafe to repeat, so POST without a key. */
    static String confirm(String id, long budgetMs, long length) {
        return "POST /api?obj=" + id + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                + "\r\nX-Call-Class: trade-confirm\r\nX-Caller: desk\r\nX-Budget-Ms: " + budgetMs
                + "\r\nContent-Length: " + length + "\r\n\r\n";
    }

    /** Reads up to the empty line; returns what there was at the end of the stream, possibly nothing. */
    static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            head.append((char) next);
            if (next == '\n' && head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
                break;
            }
        }
        return head.toString();
    }

    /** The value of a header field, or null. */
    static String field(String head, String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).trim().equalsIgnoreCase(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ---- Discovery -----------------------------------------------------------------------------------

    /** The agent of discovery: always the same complete list; a watch ends when its wait is over. */
    static void discovery(int port, List<String> members) throws IOException {
        ServerSocket listener = new ServerSocket(port, 50, LOOPBACK);
        daemon(() -> {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    daemon(() -> serveLists(socket, members));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static void serveLists(Socket socket, List<String> members) {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (true) {
                String head = readHead(socket.getInputStream());
                if (head.isEmpty()) {
                    return;
                }
                Matcher watch = Pattern.compile("from=(-?[0-9]+)&hold_ms=([0-9]+)").matcher(head);
                boolean changes = watch.find() && Long.parseLong(watch.group(1)) >= 1;
                if (changes) {
                    Thread.sleep(Math.min(60_000, Long.parseLong(watch.group(2))));
                }
                String body = list(1, !changes, changes ? List.of() : members);
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        } catch (IOException e) {
            // the balancer has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
