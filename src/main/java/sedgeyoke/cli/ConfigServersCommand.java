package sedgeyoke.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.FileDisk;

/** {@code keepers}: those who hold what the tier has agreed on. */
@Command(
        name = "keepers",
        mixinStandardHelpOptions = true,
        footer = {"", ConfigClientOptions.EXIT_CODES},
        description = "Looks after the keepers of a tier.")
final class ConfigServersCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "status, add, remove or check?");
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "What each keeper says of itself.")
    int status(@Mixin ConfigClientOptions common) throws InterruptedException {
        return common.run(spec, (client, settings) -> {
            PrintWriter out = spec.commandLine().getOut();
            ArrayNode all = JSON.createArrayNode();
            int sound = 0;
            int voters = settings.servers().size();
            for (InetSocketAddress at : settings.servers()) {
                ConfigClient.Status s = client.status(at);
                if (s == null) {
                    out.print(common.json ? "" : at + "  does not answer\n");
                    continue;
                }
                sound += s.sound() ? 1 : 0;
                voters = s.voters().size();
                all.add(JSON.valueToTree(s));
                if (!common.json) {
                    out.printf(
                            "%-12s %-9s term %d, commit %d of %d, version %d%s, %d followers, %s%n",
                            s.name(),
                            s.role(),
                            s.term(),
                            s.commit(),
                            s.last(),
                            s.active(),
                            s.pending() == 0 ? "" : " (" + s.pending() + " takes effect)",
                            s.followers(),
                            s.sound() ? "sound" : "in doubt: " + s.doubt());
                    if (s.role().equals("leader")) {
                        out.printf(
                                "  a version holds everywhere within %d ms; rules contradict for %d ms at most;"
                                        + " %d balancers hold a lease%n",
                                s.holdsWithinMs(), s.contradictionBoundMs(), s.holders());
                    }
                }
            }
            if (common.json) {
                out.println(all);
            }
            return sound > voters / 2 ? 0 : ConfigClientOptions.NO_QUORUM;
        });
    }

    @Command(
            name = "add",
            mixinStandardHelpOptions = true,
            description = "A keeper joins; it decides with the others once it has caught up.")
    int add(
            @Mixin ConfigClientOptions common,
            @Parameters(paramLabel = "NAME=ADDRESS") String keeper,
            @Option(
                            names = "--folder",
                            required = true,
                            paramLabel = "HEX",
                            description = "the number of its folder, as 'keepers check' prints it")
                    String folder)
            throws InterruptedException {
        String[] parts = keeper.split("=", 2);
        if (parts.length != 2) {
            throw new CommandLine.ParameterException(spec.commandLine(), "NAME=ADDRESS, not " + keeper);
        }
        return change(
                common,
                new ClientRequest.AddMember(new Member(parts[0], Long.parseUnsignedLong(folder, 16), parts[1])));
    }

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "A keeper goes.")
    int remove(@Mixin ConfigClientOptions common, @Parameters(paramLabel = "NAME") String name)
            throws InterruptedException {
        return change(common, new ClientRequest.RemoveMember(name, 0));
    }

    private int change(ConfigClientOptions common, ClientRequest request) throws InterruptedException {
        return common.run(spec, (client, settings) -> {
            RequestResult outcome = client.ask(request, common.withinMs()).outcome();
            spec.commandLine()
                    .getOut()
                    .println(outcome.kind().name().toLowerCase()
                            + (outcome.detail().isEmpty() ? "" : ": " + outcome.detail()));
            return ConfigClientOptions.code(outcome);
        });
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads the folder of a keeper that does not run, and says what of it can be believed.")
    int check(@Parameters(paramLabel = "FOLDER") Path folder) {
        PrintWriter out = spec.commandLine().getOut();
        if (!Files.isDirectory(folder)) {
            spec.commandLine().getErr().println(folder + ": no such folder");
            return CommandLine.ExitCode.USAGE;
        }
        try (FileDisk disk = FileDisk.take(folder)) {
            ReplicaStorage.Report report = ReplicaStorage.check(disk);
            out.println("keeper " + report.keeper() + " of tier " + report.tier() + ", folder "
                    + Long.toHexString(report.folder()) + ", term " + report.term() + ", entries up to "
                    + report.last() + (report.covered() == 0 ? "" : ", snapshot up to " + report.covered()));
            report.damage().forEach(d -> out.println("  lost: " + d));
            return report.damage().isEmpty() ? 0 : ConfigClientOptions.REFUSED;
        } catch (DiskException | ReplicaStorage.Unusable e) {
            spec.commandLine().getErr().println(folder + ": " + e.getMessage());
            return ConfigClientOptions.REFUSED;
        }
    }
}
