package sedgeyoke.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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

/** {@code settings}: what the tier has agreed on. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        footer = {"", ConfigClientOptions.EXIT_CODES},
        description = "Reads and sets what the balancers of a tier agree on, by way of the keepers.")
final class SettingsCommand implements Runnable {
    private static final ObjectMapper JSON = new ObjectMapper();

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "get, set, history, rollback or fields?");
    }

    @Command(name = "fields", description = "Lists all keys: unit, bounds, how versions meet, what holds alone.")
    int fields() {
        for (ConfigField f : ConfigSchema.FIELDS) {
            spec.commandLine()
                    .getOut()
                    .println(f.name() + " | " + f.unit() + " | " + f.min() + " to " + f.max() + " | meet: "
                            + f.mergeRule() + " | alone: " + f.withoutLease() + " | " + f.description());
        }
        return 0;
    }

    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description = "Prints the newest version, and whether it is in force everywhere.")
    int get(@Mixin ConfigClientOptions common) throws InterruptedException {
        return common.run(spec, (client, settings) -> {
            ConfigClient.Answer answer = client.ask(new ClientRequest.Read(), common.withinMs());
            return show(answer, common.json);
        });
    }

    @Command(name = "history", mixinStandardHelpOptions = true, description = "Lists the versions before, newest last.")
    int history(@Mixin ConfigClientOptions common) throws InterruptedException {
        return common.run(spec, (client, settings) -> {
            ConfigClient.Answer answer = client.history(common.withinMs());
            if (answer == null) {
                spec.commandLine().getErr().println("no keeper has answered");
                return ConfigClientOptions.NO_QUORUM;
            }
            answer.history().forEach(v -> spec.commandLine().getOut().println(line(v)));
            spec.commandLine().getOut().println(line(answer.active()));
            return 0;
        });
    }

    @Command(
            name = "set",
            mixinStandardHelpOptions = true,
            description = {
                "Makes a new version from the newest one.",
                "KEY=NUMBER, KEY+=NAME, KEY-=NAME, KEY.NAME=NUMBER, KEY= (unset)."
            })
    int set(
            @Mixin ConfigClientOptions common,
            @Parameters(arity = "1..*", paramLabel = "CHANGE", description = "such as upstreams_out+=n3 retries=0.2")
                    List<String> changes,
            @Option(names = "--reason", defaultValue = "", description = "why, for the history") String reason,
            @Option(names = "--request", description = "the number of an earlier try whose outcome is not known")
                    String request,
            @Option(names = "--parent", description = "the version that it has to be made from; default: the newest")
                    Long parent)
            throws InterruptedException {
        return common.run(spec, (client, settings) -> {
            ConfigClient.Answer now = client.ask(new ClientRequest.Read(), common.withinMs());
            if (now.outcome().kind() != RequestResult.Kind.DONE) {
                return tell(now.outcome(), null, common.json);
            }
            if (parent != null && parent != now.newest().number()) {
                return tell(
                        new RequestResult(
                                RequestResult.Kind.CONFLICT,
                                now.newest().number(),
                                "the newest version is " + now.newest().number()),
                        null,
                        common.json);
            }
            String number = request != null ? request : UUID.randomUUID().toString();
            return tell(
                    client.set(
                                    number,
                                    now.newest(),
                                    settings.name(),
                                    reason,
                                    changed(now.newest().content(), changes),
                                    common.withinMs())
                            .outcome(),
                    number,
                    common.json);
        });
    }

    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Makes a new version with the content of an earlier one.")
    int rollback(@Mixin ConfigClientOptions common, @Parameters(paramLabel = "VERSION") long version)
            throws InterruptedException {
        return common.run(spec, (client, settings) -> {
            ConfigClient.Answer now = client.ask(new ClientRequest.Read(), common.withinMs());
            ConfigClient.Answer before = client.history(common.withinMs());
            ConfigVersion old = before == null
                    ? null
                    : before.history().stream()
                            .filter(v -> v.number() == version)
                            .findFirst()
                            .orElse(null);
            if (now.outcome().kind() != RequestResult.Kind.DONE || old == null) {
                return tell(
                        old == null
                                ? new RequestResult(
                                        RequestResult.Kind.REFUSED, 0, "version " + version + " is not remembered")
                                : now.outcome(),
                        null,
                        common.json);
            }
            String number = UUID.randomUUID().toString();
            return tell(
                    client.set(
                                    number,
                                    now.newest(),
                                    settings.name(),
                                    "back to version " + version,
                                    old.content(),
                                    common.withinMs())
                            .outcome(),
                    number,
                    common.json);
        });
    }

    private ConfigDocument changed(ConfigDocument from, List<String> changes) {
        Map<String, Double> numbers = new TreeMap<>(from.numbers());
        Map<String, Map<String, Double>> tables = new TreeMap<>(from.tables());
        Map<String, Map<String, String>> names = new TreeMap<>(from.names());
        for (String change : changes) {
            int at = change.indexOf('=');
            if (at < 1) {
                throw new CommandLine.ParameterException(spec.commandLine(), "no change: " + change);
            }
            char sign = change.charAt(at - 1);
            String key = change.substring(0, sign == '+' || sign == '-' ? at - 1 : at);
            String value = change.substring(at + 1);
            if (sign == '+' || sign == '-') {
                Map<String, String> set = new TreeMap<>(names.getOrDefault(key, Map.of()));
                if (sign == '+') {
                    set.put(value, "");
                } else {
                    set.remove(value);
                }
                names.put(key, set);
            } else if (value.isEmpty()) {
                numbers.remove(key);
                tables.remove(key);
                names.remove(key);
            } else if (key.contains(".")) {
                String[] parts = key.split("\\.", 2);
                tables.computeIfAbsent(parts[0], k -> new TreeMap<>());
                Map<String, Double> table = new TreeMap<>(tables.get(parts[0]));
                table.put(parts[1], number(change, value));
                tables.put(parts[0], table);
            } else {
                numbers.put(key, number(change, value));
            }
        }
        return new ConfigDocument(numbers, tables, names);
    }

    private double number(String change, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new CommandLine.ParameterException(spec.commandLine(), change + ": no number");
        }
    }

    private int tell(RequestResult outcome, String request, boolean json) {
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            out.println(JSON.createObjectNode()
                    .put("outcome", outcome.kind().name().toLowerCase())
                    .put("version", outcome.version())
                    .put("text", outcome.detail())
                    .put("request", request));
        } else {
            out.println(outcome.kind().name().toLowerCase() + ", version " + outcome.version()
                    + (outcome.detail().isEmpty() ? "" : ": " + outcome.detail())
                    + (outcome.kind() == RequestResult.Kind.UNKNOWN ? "; ask again with --request " + request : ""));
        }
        return ConfigClientOptions.code(outcome);
    }

    private int show(ConfigClient.Answer answer, boolean json) {
        if (answer.outcome().kind() != RequestResult.Kind.DONE) {
            return tell(answer.outcome(), null, json);
        }
        PrintWriter out = spec.commandLine().getOut();
        ConfigVersion v = answer.newest();
        if (json) {
            ObjectNode node = JSON.createObjectNode()
                    .put("version", v.number())
                    .put("in_force", answer.active().number())
                    .put("author", v.author())
                    .put("reason", v.reason())
                    .put("at_ms", v.createdAtMillis());
            node.set("numbers", JSON.valueToTree(v.content().numbers()));
            node.set("tables", JSON.valueToTree(v.content().tables()));
            node.set("names", JSON.valueToTree(v.content().names()));
            out.println(node);
            return 0;
        }
        out.println(line(v)
                + (answer.pending() == null
                        ? ""
                        : "; takes effect, in force is " + answer.active().number()));
        rows(v.content()).forEach(row -> out.println("  " + row));
        return 0;
    }

    private static String line(ConfigVersion v) {
        return "version " + v.number() + (v.author().isEmpty() ? "" : " by " + v.author())
                + (v.reason().isEmpty() ? "" : " (" + v.reason() + ")");
    }

    private static List<String> rows(ConfigDocument d) {
        List<String> rows = new ArrayList<>();
        d.numbers().forEach((k, v) -> rows.add(k + " = " + v));
        d.tables().forEach((k, t) -> t.forEach((n, v) -> rows.add(k + "." + n + " = " + v)));
        d.names().forEach((k, t) -> rows.add(k + ": " + String.join(" ", t.keySet())));
        return rows;
    }
}
