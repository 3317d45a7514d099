package sedgeyoke.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigField;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.consensus.server.ConfigResponse;
import sedgeyoke.settings.ClientSettings;

/** {@code settings}: reads and changes the config that the config servers of a tier replicate. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        footer = {"", ConfigClientOptions.EXIT_CODES},
        description = "Reads and sets the config that all balancers of a tier follow.")
final class SettingsCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "get, set, history, rollback or fields?");
    }

    @Command(
            name = "fields",
            description = "Lists all keys: unit, bounds, merging of two versions, value without a lease.")
    int fields() {
        PrintWriter out = spec.commandLine().getOut();
        for (ConfigField field : ConfigSchema.FIELDS) {
            out.println(field.name() + " | " + field.unit() + " | " + field.min() + " to " + field.max() + " | meet: "
                    + field.mergeRule() + " | alone: " + field.withoutLease() + " | " + field.description());
        }
        return CommandLine.ExitCode.OK;
    }

    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description = "Prints the newest version, and whether it is in force everywhere.")
    int get(@Mixin ConfigClientOptions options) throws InterruptedException {
        return options.run(spec, (client, settings) -> {
            ConfigResponse answer = client.submit(new ClientRequest.Read(), options.timeoutMs());
            if (answer.result().kind() != RequestResult.Kind.DONE) {
                return printResult(answer.result(), null, options.json());
            }
            if (options.json()) {
                spec.commandLine().getOut().println(toJson(answer));
            } else {
                printVersion(answer);
            }
            return CommandLine.ExitCode.OK;
        });
    }

    @Command(name = "history", mixinStandardHelpOptions = true, description = "Lists earlier versions, newest last.")
    int history(@Mixin ConfigClientOptions options) throws InterruptedException {
        return options.run(spec, (client, settings) -> {
            Optional<ConfigResponse> response = client.history(options.timeoutMs());
            if (response.isEmpty()) {
                spec.commandLine().getErr().println("no config server has answered");
                return ConfigClientOptions.EXIT_NO_QUORUM;
            }
            PrintWriter out = spec.commandLine().getOut();
            ConfigResponse answer = response.get();
            answer.history().forEach(version -> out.println(title(version)));
            out.println(title(answer.active()));
            return CommandLine.ExitCode.OK;
        });
    }

    @Command(
            name = "set",
            mixinStandardHelpOptions = true,
            description = {
                "Creates a new version from the newest one.",
                "KEY=NUMBER, KEY+=NAME, KEY-=NAME, KEY.NAME=NUMBER, KEY= (unset)."
            })
    int set(
            @Mixin ConfigClientOptions options,
            @Parameters(arity = "1..*", paramLabel = "CHANGE", description = "such as upstreams_out+=n3 retries=0.2")
                    List<String> changes,
            @Option(names = "--reason", defaultValue = "", description = "reason, shown in the history") String reason,
            @Option(names = "--request", description = "the id of an earlier attempt whose outcome is unknown")
                    String requestId,
            @Option(names = "--parent", description = "the expected newest version; any other is a conflict")
                    Long parent)
            throws InterruptedException {
        return options.run(spec, (client, settings) -> {
            ConfigResponse current = client.submit(new ClientRequest.Read(), options.timeoutMs());
            if (current.result().kind() != RequestResult.Kind.DONE) {
                return printResult(current.result(), null, options.json());
            }
            long newest = current.newest().number();
            if (parent != null && parent != newest) {
                RequestResult conflict =
                        new RequestResult(RequestResult.Kind.CONFLICT, newest, "the newest version is " + newest);
                return printResult(conflict, null, options.json());
            }
            ConfigDocument content = changed(current.newest().content(), changes);
            return write(client, settings, options, requestId, current.newest(), reason, content);
        });
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Creates a new version with the content of an earlier one.")
    int rollback(@Mixin ConfigClientOptions options, @Parameters(paramLabel = "VERSION") long number)
            throws InterruptedException {
        return options.run(spec, (client, settings) -> {
            ConfigResponse current = client.submit(new ClientRequest.Read(), options.timeoutMs());
            Optional<ConfigVersion> earlier = find(client.history(options.timeoutMs()), number);
            if (earlier.isEmpty()) {
                RequestResult rejected =
                        new RequestResult(RequestResult.Kind.REFUSED, 0, "version " + number + " is not remembered");
                return printResult(rejected, null, options.json());
            }
            if (current.result().kind() != RequestResult.Kind.DONE) {
                return printResult(current.result(), null, options.json());
            }
            String reason = "back to version " + number;
            ConfigDocument content = earlier.get().content();
            return write(client, settings, options, null, current.newest(), reason, content);
        });
    }

    private static Optional<ConfigVersion> find(Optional<ConfigResponse> response, long number) {
        return response.stream()
                .flatMap(found -> found.history().stream())
                .filter(version -> version.number() == number)
                .findFirst();
    }

    /** Writes a new version; a random request id is used if {@code requestId} is null. */
    private int write(
            ConfigClient client,
            ClientSettings settings,
            ConfigClientOptions options,
            String requestId,
            ConfigVersion parent,
            String reason,
            ConfigDocument content)
            throws InterruptedException {
        String id = requestId != null ? requestId : UUID.randomUUID().toString();
        RequestResult result = client.write(id, parent, settings.name(), reason, content, options.timeoutMs())
                .result();
        return printResult(result, id, options.json());
    }

    private ConfigDocument changed(ConfigDocument document, List<String> changes) {
        try {
            return ConfigChanges.apply(document, changes);
        } catch (ConfigChanges.InvalidChangeException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), e.getMessage());
        }
    }

    private int printResult(RequestResult result, String requestId, boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(JSON.createObjectNode()
                    .put("outcome", ConfigClientOptions.kindName(result))
                    .put("version", result.version())
                    .put("text", result.detail())
                    .put("request", requestId));
        } else {
            String text = result.detail().isEmpty() ? "" : ": " + result.detail();
            String advice = result.kind() == RequestResult.Kind.UNKNOWN ? "; retry with --request " + requestId : "";
            out.println(ConfigClientOptions.kindName(result) + ", version " + result.version() + text + advice);
        }
        return ConfigClientOptions.exitCode(result);
    }

    private static ObjectNode toJson(ConfigResponse answer) {
        ConfigVersion version = answer.newest();
        ObjectNode json = JSON.createObjectNode()
                .put("version", version.number())
                .put("in_force", answer.active().number())
                .put("author", version.author())
                .put("reason", version.reason())
                .put("at_ms", version.createdAtMillis());
        json.set("numbers", JSON.valueToTree(version.content().numbers()));
        json.set("tables", JSON.valueToTree(version.content().tables()));
        json.set("names", JSON.valueToTree(version.content().names()));
        return json;
    }

    private void printVersion(ConfigResponse answer) {
        PrintWriter out = spec.commandLine().getOut();
        String pending = answer.pending() == null
                ? ""
                : "; takes effect, in force is " + answer.active().number();
        out.println(title(answer.newest()) + pending);
        rows(answer.newest().content()).forEach(row -> out.println("  " + row));
    }

    private static String title(ConfigVersion version) {
        return "version " + version.number()
                + (version.author().isEmpty() ? "" : " by " + version.author())
                + (version.reason().isEmpty() ? "" : " (" + version.reason() + ")");
    }

    private static List<String> rows(ConfigDocument document) {
        List<String> rows = new ArrayList<>();
        document.numbers().forEach((key, value) -> rows.add(key + " = " + value));
        document.tables()
                .forEach((key, table) -> table.forEach((name, value) -> rows.add(key + "." + name + " = " + value)));
        document.names().forEach((key, names) -> rows.add(key + ": " + String.join(" ", names.keySet())));
        return rows;
    }
}
