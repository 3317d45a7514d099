package sedgeyoke.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import sedgeyoke.standin.Certificates;
import sedgeyoke.standin.Configurations;
import sedgeyoke.standin.Site;

/** Planners and forwarders as processes of the program, with all their files in one folder. */
public final class TierProcesses {
    private final Path folder;
    private final Certificates certificates;

    /** Files go to the folder, those of a certificate authority too. */
    public TierProcesses(Path folder) throws IOException {
        this.folder = folder;
        this.certificates = new Certificates(folder);
    }

    /** A planner that will listen on a port; not started. */
    public ProgramProcess planner(String name, int port) throws IOException {
        Path file = Files.writeString(folder.resolve(name + ".toml"), "[planner]\nenabled = true\nname = \"" + name
                + "\"\nlisten = \"127.0.0.1:" + port + "\"\n" + certificates.issue(name, "planner"));
        return new ProgramProcess(folder.resolve(name + ".log"), Map.of(), "plan", "--config", file.toString());
    }

    /** A forwarder with the platform's configuration, that follows planners at these ports, if any; not started. */
    public ProgramProcess forwarder(String name, String configuration, List<Integer> plannerPorts)
            throws IOException {
        Path json = Files.writeString(folder.resolve(name + ".json"), configuration);
        String addresses = plannerPorts.stream().map(p -> "\"127.0.0.1:" + p + "\"").collect(Collectors.joining(", "));
        Path toml = Files.writeString(folder.resolve(name + ".toml"), plannerPorts.isEmpty() ? ""
                : "[plans]\nenabled = true\nplanners = [" + addresses + "]\n"
                + certificates.issue(name, "forwarder"));
        return new ProgramProcess(folder.resolve(name + ".log"), Map.of("BALANCER_CONFIG", json.toString()), "serve",
                "--config", toml.toString());
    }

    /** The platform's configuration of a forwarder of a site, which discovery tells of changes so much later. */
    public static String configuration(Site site, String name, int zone, int position, int group, long delayMs,
            long seed) {
        return Configurations.of(site.spec(), name, "127.0.0.1:0", site.discoveryFor(name, delayMs), zone, position,
                group, seed);
    }
}
