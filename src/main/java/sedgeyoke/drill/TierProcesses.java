package sedgeyoke.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.Certificates;
import sedgeyoke.standin.Configurations;
import sedgeyoke.standin.Site;

/**
 * Creates the processes of a tier (planners, config servers and balancers) with their settings and certificates, all in
 * one folder. No process is started here.
 */
public final class TierProcesses {
    private static final String NO_SETTINGS = "";

    private final Path folder;
    private final Certificates certificates;
    private final List<String> program;

    /** Creates a certificate authority in the folder. */
    public TierProcesses(Path folder) throws IOException {
        this(folder, ProgramProcess.program());
    }

    /** Creates a certificate authority in the folder, and starts the program by another command. */
    public TierProcesses(Path folder, List<String> program) throws IOException {
        this.folder = folder;
        this.certificates = new Certificates(folder);
        this.program = List.copyOf(program);
    }

    /** Issues a certificate to an operator. */
    public TlsFiles issueOperator(String name) throws IOException {
        certificates.issue(name, "operator");
        return new TlsFiles(folder.resolve(name + ".pem"), folder.resolve(name + ".key"), folder.resolve("ca.pem"));
    }

    /** Where a config server stores its replica. */
    public Path configServerFolder(String name) {
        return folder.resolve(dataFolderName(name));
    }

    private static String dataFolderName(String configServer) {
        return "data-" + configServer;
    }

    /** A config server that bootstraps its tier; {@code peerPorts}: by name, the port for each server and itself. */
    public ProgramProcess configServer(String name, int port, Map<String, Integer> peerPorts, long leaseMs)
            throws IOException {
        String peers = peerPorts.entrySet().stream()
                .map(peer -> quoted(peer.getKey() + "=127.0.0.1:" + peer.getValue()))
                .collect(Collectors.joining(", "));
        String settings = "[config_server]\nenabled = true\ntier = \"drill\"\n"
                + "name = " + quoted(name) + "\n"
                + "listen = " + quoted("127.0.0.1:" + port) + "\n"
                + "folder = " + quoted(dataFolderName(name)) + "\n"
                + "servers = [" + peers + "]\n"
                + "lease_ms = " + leaseMs + "\n"
                + certificates.issue(name, "keeper");
        return process(
                name,
                Map.of(),
                "config-server",
                "--bootstrap",
                "--config",
                writeSettings(name, settings).toString());
    }

    /** A planner that listens on a port. */
    public ProgramProcess planner(String name, int port) throws IOException {
        String settings = "[planner]\nenabled = true\n"
                + "name = " + quoted(name) + "\n"
                + "listen = " + quoted("127.0.0.1:" + port) + "\n"
                + certificates.issue(name, "planner");
        return process(
                name,
                Map.of(),
                "plan",
                "--config",
                writeSettings(name, settings).toString());
    }

    /** A balancer with the platform's configuration that follows the planners at these ports, if any. */
    public ProgramProcess forwarder(String name, String configuration, List<Integer> plannerPorts) throws IOException {
        String settings = plannerPorts.isEmpty()
                ? NO_SETTINGS
                : "[plans]\nenabled = true\n"
                        + "planners = " + addresses(plannerPorts) + "\n"
                        + certificates.issue(name, "forwarder");
        return balancer(name, configuration, settings, Map.of());
    }

    /**
     * A balancer with the platform's configuration that follows the config servers at these ports, if any, and has an
     * admin endpoint.
     */
    public ProgramProcess configFollower(
            String name, String configuration, List<Integer> configServerPorts, long leaseMs, int adminPort)
            throws IOException {
        String settings = configServerPorts.isEmpty()
                ? NO_SETTINGS
                : "[config]\nenabled = true\n"
                        + "servers = " + addresses(configServerPorts) + "\n"
                        + "lease_ms = " + leaseMs + "\n"
                        + certificates.issue(name, "forwarder");
        Path temporaryFiles = Files.createDirectories(folder.resolve("tmp-" + name));
        return balancer(
                name,
                configuration,
                settings,
                Map.of("BALANCER_OPS", "127.0.0.1:" + adminPort, "TMPDIR", temporaryFiles.toString()));
    }

    private ProgramProcess balancer(
            String name, String configuration, String settings, Map<String, String> moreEnvironment)
            throws IOException {
        Path json = Files.writeString(folder.resolve(name + ".json"), configuration);
        Map<String, String> environment = new HashMap<>(moreEnvironment);
        environment.put("BALANCER_CONFIG", json.toString());
        return process(
                name,
                environment,
                "serve",
                "--config",
                writeSettings(name, settings).toString());
    }

    private ProgramProcess process(String name, Map<String, String> environment, String... arguments) {
        List<String> command =
                Stream.concat(program.stream(), Stream.of(arguments)).toList();
        return new ProgramProcess(folder.resolve(name + ".log"), environment, command);
    }

    private Path writeSettings(String name, String settings) throws IOException {
        return Files.writeString(folder.resolve(name + ".toml"), settings);
    }

    private static String addresses(List<Integer> ports) {
        return ports.stream().map(port -> quoted("127.0.0.1:" + port)).collect(Collectors.joining(", ", "[", "]"));
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    /** The platform's configuration of a balancer of a site, whose discovery agent learns of changes with a delay. */
    public static String configuration(
            Site site, String name, int zone, int position, int groupSize, long discoveryDelayMs, long seed) {
        String discovery = site.discoveryFor(name, discoveryDelayMs);
        return Configurations.of(
                site.spec(),
                new Configurations.BalancerSpec(name, "127.0.0.1:0", discovery, zone, position, groupSize, seed));
    }
}
