package sedgeyoke.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.consensus.server.ServerStatus;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.consensus.storage.UnusableStorageException;
import sedgeyoke.settings.ClientSettings;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.FileDisk;

/** {@code config-servers}: shows and changes the config servers of a tier, and checks their storage. */
@Command(
        name = "config-servers",
        mixinStandardHelpOptions = true,
        footer = {"", ConfigClientOptions.EXIT_CODES},
        description = "Shows and changes the config servers of a tier.")
final class ConfigServersCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int HEX = 16;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "status, add, remove or check?");
    }

    @Command(name = "status", mixinStandardHelpOptions = true, description = "Prints the status of each server.")
    int status(@Mixin ConfigClientOptions options) throws InterruptedException {
        return options.run(spec, (client, settings) -> printStatus(client, settings, options.json()));
    }

    private int printStatus(ConfigClient client, ClientSettings settings, boolean json) throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        ArrayNode all = JSON.createArrayNode();
        int recovered = 0;
        int voters = settings.servers().size();
        for (InetSocketAddress address : settings.servers()) {
            Optional<ServerStatus> response = client.status(address);
            if (response.isEmpty()) {
                out.print(json ? "" : address + "  does not answer\n");
                continue;
            }
            ServerStatus status = response.get();
            recovered += status.recovered() ? 1 : 0;
            voters = status.voters().size();
            if (json) {
                all.add(ConfigServerStatusFormat.json(status));
            } else {
                ConfigServerStatusFormat.text(status).forEach(out::println);
            }
        }
        if (json) {
            out.println(all);
        }
        return recovered > voters / 2 ? CommandLine.ExitCode.OK : ConfigClientOptions.EXIT_NO_QUORUM;
    }

    @Command(
            name = "add",
            mixinStandardHelpOptions = true,
            description = "Adds a server; it votes once it has caught up with the leader.")
    int add(
            @Mixin ConfigClientOptions options,
            @Parameters(paramLabel = "NAME=ADDRESS") String server,
            @Option(
                            names = "--folder",
                            required = true,
                            paramLabel = "HEX",
                            description = "the number of its folder, as 'config-servers check' prints it")
                    String folder)
            throws InterruptedException {
        String[] parts = server.split("=", 2);
        if (parts.length != 2) {
            throw new CommandLine.ParameterException(spec.commandLine(), "expected NAME=ADDRESS, not " + server);
        }
        Member member = new Member(parts[0], Long.parseUnsignedLong(folder, HEX), parts[1]);
        return changeMembership(options, new ClientRequest.AddMember(member));
    }

    @Command(name = "remove", mixinStandardHelpOptions = true, description = "Removes a server.")
    int remove(@Mixin ConfigClientOptions options, @Parameters(paramLabel = "NAME") String name)
            throws InterruptedException {
        return changeMembership(options, new ClientRequest.RemoveMember(name, 0));
    }

    private int changeMembership(ConfigClientOptions options, ClientRequest request) throws InterruptedException {
        return options.run(spec, (client, settings) -> {
            RequestResult result = client.submit(request, options.timeoutMs()).result();
            String text = result.detail().isEmpty() ? "" : ": " + result.detail();
            spec.commandLine().getOut().println(ConfigClientOptions.kindName(result) + text);
            return ConfigClientOptions.exitCode(result);
        });
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Verifies the folder of a server that is stopped, and prints what is corrupt in it.")
    int check(@Parameters(paramLabel = "FOLDER") Path folder) {
        PrintWriter err = spec.commandLine().getErr();
        if (!Files.isDirectory(folder)) {
            err.println(folder + ": no such folder");
            return CommandLine.ExitCode.USAGE;
        }
        try (FileDisk disk = FileDisk.open(folder)) {
            return printReport(ReplicaStorage.inspect(disk));
        } catch (DiskException | UnusableStorageException e) {
            err.println(folder + ": " + e.getMessage());
            return ConfigClientOptions.EXIT_REJECTED;
        }
    }

    private int printReport(ReplicaStorage.Report report) {
        PrintWriter out = spec.commandLine().getOut();
        out.println("config server " + report.server() + " of tier " + report.tier() + ", folder "
                + Long.toHexString(report.storageId()) + ", term " + report.term() + ", entries up to "
                + report.lastIndex()
                + (report.snapshotIndex() == 0 ? "" : ", snapshot up to " + report.snapshotIndex()));
        report.corruptions().forEach(corruption -> out.println("  lost: " + corruption));
        return report.corruptions().isEmpty() ? CommandLine.ExitCode.OK : ConfigClientOptions.EXIT_REJECTED;
    }
}
