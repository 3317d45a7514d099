package sedgeyoke.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.Certificates;
import sedgeyoke.standin.Configurations;
import sedgeyoke.standin.Site;

/** Planners and forwarders as processes of the program, with all their files in one folder. */
public final class TierProcesses {
    private final Path folder;
    private final Certificates certificates;
    private final List<String> program;

    /** Files go to the folder, those of a certificate authority too. */
    public TierProcesses(Path folder) throws IOException {
        this(folder, ProgramProcess.program());
    }

    /** The same with another way to start the program. */
    public TierProcesses(Path folder, List<String> program) throws IOException {
        this.folder = folder;
        this.certificates = new Certificates(folder);
        this.program = List.copyOf(program);
    }

    private ProgramProcess process(String name, Map<String, String> environment, String... arguments) {
        return ProgramProcess.of(
                folder.resolve(name + ".log"),
                environment,
                Stream.concat(program.stream(), Stream.of(arguments)).toList());
    }

    /** What an operator's commands need to be believed. */
    public TlsFiles operator(String name) throws IOException {
        certificates.issue(name, "operator");
        return new TlsFiles(folder.resolve(name + ".pem"), folder.resolve(name + ".key"), folder.resolve("ca.pem"));
    }

    /** Where a keeper keeps what it must not lose. */
    public Path keepersFolder(String name) {
        return folder.resolve("kept-" + name);
    }

    /** A keeper that will listen on a port, founder of a tier; {@code others}: where it finds each keeper. */
    public ProgramProcess keeper(String name, int port, Map<String, Integer> others, long leaseMs) throws IOException {
        String keepers = others.entrySet().stream()
                .map(o -> "\"" + o.getKey() + "=127.0.0.1:" + o.getValue() + "\"")
                .collect(Collectors.joining(", "));
        Path file = Files.writeString(
                folder.resolve(name + ".toml"),
                "[config_server]\nenabled = true\ntier = \"drill\"\n"
                        + "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + port + "\"\nfolder = \"kept-" + name
                        + "\"\nservers = [" + keepers + "]\nlease_ms = " + leaseMs + "\n"
                        + certificates.issue(name, "keeper"));
        return process(name, Map.of(), "keep", "--found", "--config", file.toString());
    }

    /**
     * A balancer with the platform's configuration that acts on what keepers at these ports agree, if any, with a door
     * for operators; not started.
     */
    public ProgramProcess agreeing(String name, String configuration, List<Integer> keeperPorts, long leaseMs, int door)
            throws IOException {
        Path json = Files.writeString(folder.resolve(name + ".json"), configuration);
        String addresses =
                keeperPorts.stream().map(p -> "\"127.0.0.1:" + p + "\"").collect(Collectors.joining(", "));
        Path own = Files.createDirectories(folder.resolve("tmp-" + name));
        Path toml = Files.writeString(
                folder.resolve(name + ".toml"),
                keeperPorts.isEmpty()
                        ? ""
                        : "[config]\nenabled = true\nservers = [" + addresses + "]\nlease_ms = " + leaseMs + "\n"
                                + certificates.issue(name, "forwarder"));
        return process(
                name,
                Map.of(
                        "BALANCER_CONFIG",
                        json.toString(),
                        "BALANCER_OPS",
                        "127.0.0.1:" + door,
                        "TMPDIR",
                        own.toString()),
                "serve",
                "--config",
                toml.toString());
    }

    /** A planner that will listen on a port; not started. */
    public ProgramProcess planner(String name, int port) throws IOException {
        Path file = Files.writeString(
                folder.resolve(name + ".toml"),
                "[planner]\nenabled = true\nname = \"" + name + "\"\nlisten = \"127.0.0.1:" + port + "\"\n"
                        + certificates.issue(name, "planner"));
        return process(name, Map.of(), "plan", "--config", file.toString());
    }

    /** A forwarder with the platform's configuration, that follows planners at these ports, if any; not started. */
    public ProgramProcess forwarder(String name, String configuration, List<Integer> plannerPorts) throws IOException {
        Path json = Files.writeString(folder.resolve(name + ".json"), configuration);
        String addresses =
                plannerPorts.stream().map(p -> "\"127.0.0.1:" + p + "\"").collect(Collectors.joining(", "));
        Path toml = Files.writeString(
                folder.resolve(name + ".toml"),
                plannerPorts.isEmpty()
                        ? ""
                        : "[plans]\nenabled = true\nplanners = [" + addresses + "]\n"
                                + certificates.issue(name, "forwarder"));
        return process(name, Map.of("BALANCER_CONFIG", json.toString()), "serve", "--config", toml.toString());
    }

    /** The platform's configuration of a forwarder of a site, which discovery tells of changes so much later. */
    public static String configuration(
            Site site, String name, int zone, int position, int group, long delayMs, long seed) {
        return Configurations.of(
                site.spec(), name, "127.0.0.1:0", site.discoveryFor(name, delayMs), zone, position, group, seed);
    }
}
