package sedgeyoke.drill.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.drill.ProgramProcess;
import sedgeyoke.drill.ProgramProcess.Signal;
import sedgeyoke.model.RequestClassModel;
import sedgeyoke.standin.AnswerFault;
import sedgeyoke.standin.Site;

/** One balancer of a run: its process, its two discovery agents and its configuration file. */
final class SoakBalancer implements AutoCloseable {
    private static final int AGENTS = 2;
    /** SIGKILL follows SIGTERM no sooner than the longest deadline (at most this long) plus a margin. */
    private static final long MAX_DEADLINE_MS = 3_000;

    private static final long KILL_MARGIN_MS = 700;
    /** How long after SIGTERM clients still open new connections. */
    private static final long NEW_CONNECTIONS_MS = 300;

    private static final long CLOSE_DETECTION_MS = 150;

    private final Site site;
    private final String name;
    private final int zone;
    private final int position;
    private final int port;
    private final String[] discovery = new String[AGENTS];
    private final SoakConfigurations configurations;
    private final Path file;
    private final ProgramProcess process;
    private final SystemFaults systemFaults;
    private int agent;

    /** Creates the balancer with a configuration that lists the current endpoints. */
    SoakBalancer(
            Site site,
            SoakConfigurations configurations,
            SoakOptions options,
            Path folder,
            int zone,
            int position,
            long discoveryDelayMs)
            throws IOException {
        this.site = site;
        this.name = "b" + position;
        this.zone = zone;
        this.position = position;
        this.port = ProgramProcess.freePort();
        this.configurations = configurations;
        this.file = folder.resolve(name + ".json");
        for (int i = 0; i < AGENTS; i++) {
            discovery[i] = site.furtherDiscoveryFor(agentName(i), name, discoveryDelayMs);
        }
        this.systemFaults =
                options.shim() == null ? null : new SystemFaults(options.shim(), folder.resolve(name + ".faults"));
        Map<String, String> environment = new HashMap<>(systemFaults == null ? Map.of() : systemFaults.environment());
        environment.put("BALANCER_CONFIG", file.toString());
        List<String> command = new ArrayList<>(options.program());
        command.add("serve");
        this.process = new ProgramProcess(folder.resolve(name + ".log"), environment, command);
        configure();
    }

    private String agentName(int number) {
        return name + "/" + number;
    }

    String name() {
        return name;
    }

    int zone() {
        return zone;
    }

    int port() {
        return port;
    }

    boolean alive() {
        return process.alive();
    }

    /** Control of the system call faults of the process; null if the soak has none. */
    SystemFaults systemFaults() {
        return systemFaults;
    }

    /** Rewrites the configuration with the current agent and the current endpoints. */
    void configure() throws IOException {
        Path next = file.resolveSibling(name + ".next");
        Files.writeString(next, configurations.of(name, port, discovery[agent], zone, position, site.endpointList()));
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process with the configuration as last written, without waiting until it listens. */
    void start() throws IOException {
        process.start();
    }

    /** Waits until the balancer listens, and lets clients connect. */
    void awaitListening(long millis) throws IOException, InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (!listens()) {
            if (System.nanoTime() > end || !process.alive()) {
                throw new IOException(name + " did not start to listen");
            }
            Thread.sleep(5);
        }
        site.startConnectingTo(name);
    }

    private boolean listens() {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    /** Gives the next responses of the current agent these faults. */
    void failDiscoveryAnswers(List<AnswerFault> faults) {
        site.failDiscoveryAnswers(agentName(agent), faults);
    }

    /** Points the configuration at the other discovery agent and sends SIGHUP. */
    void moveDiscovery() throws IOException, InterruptedException {
        agent = (agent + 1) % AGENTS;
        configure();
        site.run(() -> site.checker().discoveryMoved(name, site.now()));
        process.signal(Signal.RELOAD);
    }

    /** Suspends the process for a time. */
    void stall(long millis) throws IOException, InterruptedException {
        process.signal(Signal.STOP);
        try {
            Thread.sleep(millis);
        } finally {
            process.signal(Signal.CONTINUE);
        }
    }

    /**
     * Shuts down gracefully: sends SIGTERM, and SIGKILL at the earliest time that the platform allows. A request that
     * is lost meanwhile is a violation. Returns whether the process exited by itself.
     */
    boolean terminate(int signals) throws IOException, InterruptedException {
        long deadlineMs = site.spec().classes().stream()
                .mapToLong(RequestClassModel::clientTimeoutMs)
                .max()
                .orElse(0);
        long killAt = System.nanoTime() + (Math.min(MAX_DEADLINE_MS, deadlineMs) + KILL_MARGIN_MS) * 1_000_000;
        for (int i = 0; i < signals && process.alive(); i++) {
            process.signal(Signal.TERMINATE);
        }
        boolean ended = process.awaitEnd(NEW_CONNECTIONS_MS);
        site.stopConnectingTo(name);
        ended |= process.awaitEnd(Math.max(1, (killAt - System.nanoTime()) / 1_000_000));
        if (!ended) {
            process.kill();
            process.awaitEnd(MAX_DEADLINE_MS);
        }
        Thread.sleep(CLOSE_DETECTION_MS);
        return ended;
    }

    /** Kills the process; requests in flight may be lost. */
    void killAnnounced() throws InterruptedException {
        site.run(() -> site.checker().balancerKilled(name));
        killUnannounced();
    }

    /** Kills the process without telling the checker, so that a lost request is a violation. */
    void killUnannounced() throws InterruptedException {
        process.kill();
        process.awaitEnd(MAX_DEADLINE_MS);
        site.stopConnectingTo(name);
        Thread.sleep(CLOSE_DETECTION_MS);
        site.run(() -> site.checker().balancerRestarted(name));
    }

    @Override
    public void close() {
        process.close();
    }
}
