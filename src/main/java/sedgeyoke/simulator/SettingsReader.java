package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Limits;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.PlatformRules;
import sedgeyoke.policy.LoadBalancingPolicy.Prices;
import sedgeyoke.policy.LoadBalancingPolicy.Ratings;
import sedgeyoke.policy.LoadBalancingPolicy.Reports;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.Tenant;

/** Parses the platform's settings for a policy instance from JSON. Unknown keys are skipped. */
public final class SettingsReader {
    private static final Map<String, Effect> EFFECTS =
            Map.of("free", Effect.SAFE, "guarded", Effect.IDEMPOTENT_WITH_KEY, "single_shot", Effect.UNSAFE);
    private static final Map<String, Scope> SCOPES = Map.of("all", Scope.ALL, "zone", Scope.ZONE, "cell", Scope.CELL);
    private static final Map<String, Reports> REPORTS =
            Map.of("piggyback", Reports.IN_RESPONSES, "pull", Reports.BY_HEALTH_CHECK, "silent", Reports.NONE);
    private static final Map<String, Ratings> RATINGS =
            Map.of("silent", Ratings.NONE, "nominal", Ratings.NOMINAL, "rough", Ratings.ROUGH, "live", Ratings.LIVE);

    private SettingsReader() {}

    /** The settings of a policy instance, and the names behind the indices that the policy uses. */
    public record InstanceSettings(
            Settings settings,
            List<String> reportNames,
            List<String> classNames,
            List<String> tenantNames,
            List<String> localities,
            List<String> kinds) {}

    /** A JSON object. Booleans are stored as 0 and 1, and a scalar in an array as an object with the only key "". */
    private static final class Node {
        final Map<String, Double> numbers = new HashMap<>();
        final Map<String, String> texts = new HashMap<>();
        final Map<String, Node> objects = new HashMap<>();
        final Map<String, List<Node>> lists = new HashMap<>();

        double number(String name, double defaultValue) {
            return numbers.getOrDefault(name, defaultValue);
        }

        long time(String name) {
            return WireTime.micros(number(name, 0));
        }

        boolean flag(String name) {
            return number(name, 0) != 0;
        }

        Node object(String name) {
            return objects.getOrDefault(name, new Node());
        }

        List<Node> list(String name) {
            return lists.getOrDefault(name, List.of());
        }

        <T> T choice(String name, Map<String, T> values, T defaultValue) throws InvalidInputException {
            String text = texts.get(name);
            if (text == null) {
                return defaultValue;
            }
            if (!values.containsKey(text)) {
                throw new InvalidInputException("setting " + name + " has the unknown value " + text);
            }
            return values.get(text);
        }
    }

    /** Creates a load report; {@code value} returns the value with a given name, or NaN if it is absent. */
    public static LoadReport loadReport(ToDoubleFunction<String> value) {
        return new LoadReport(
                value.applyAsDouble("cpu"),
                value.applyAsDouble("active"),
                value.applyAsDouble("waiting"),
                value.applyAsDouble("avg_ms") * 1_000,
                value.applyAsDouble("rps"),
                value.applyAsDouble("err_rps"));
    }

    /** Reads the settings; the parser must be at the start of their object. */
    public static InstanceSettings read(JsonParser json) throws InvalidInputException, IOException {
        Node root = readNode(json);
        Node report = root.object("report");
        Settings settings = new Settings(
                (int) root.number("az", 0),
                Math.max(1, root.list("localities").size()),
                (int) root.number("position", 0),
                (int) root.number("group-size", 1),
                classes(root.list("classes")),
                tenants(root.list("parties")),
                root.number("over-share-worth", 1),
                "work".equals(root.texts.get("counted-by")),
                limits(root.object("ceilings")),
                rules(root.object("rules")),
                prices(root.object("prices")),
                report.choice("via", REPORTS, Reports.NONE),
                root.choice("weights", RATINGS, Ratings.NONE),
                "on_request".equals(root.texts.get("discovery")),
                root.object("extra").flag("warm-keys"),
                root.time("tick-s"));
        return new InstanceSettings(
                settings,
                texts(report, "names", ""),
                texts(root, "classes", "name"),
                texts(root, "parties", "name"),
                texts(root, "localities", ""),
                texts(root, "kinds", ""));
    }

    private static List<RequestClass> classes(List<Node> nodes) throws InvalidInputException {
        List<RequestClass> classes = new ArrayList<>();
        for (Node requestClass : nodes) {
            classes.add(new RequestClass(
                    requestClass.time("aim-s"),
                    requestClass.number("aim-stretch", 0),
                    requestClass.time("give-up-s"),
                    requestClass.number("worth", 1),
                    requestClass.number("late-worth", 0),
                    requestClass.choice("repeat", EFFECTS, Effect.UNSAFE),
                    requestClass.choice("dedup-scope", SCOPES, Scope.CELL),
                    requestClass.time("memory-span-s"),
                    requestClass.flag("stream")));
        }
        return classes;
    }

    private static List<Tenant> tenants(List<Node> nodes) {
        List<Tenant> tenants = new ArrayList<>();
        for (Node tenant : nodes) {
            tenants.add(new Tenant(tenant.number("allowance-per-s", 0), tenant.number("share", 0)));
        }
        return tenants;
    }

    private static List<String> texts(Node node, String list, String field) {
        return node.list(list).stream()
                .map(element -> element.texts.getOrDefault(field, ""))
                .toList();
    }

    private static Limits limits(Node node) {
        return new Limits(
                (int) node.number("try-limit", 1),
                node.flag("may-duplicate"),
                node.flag("probes"),
                node.flag("cancel"),
                node.flag("peers"),
                (int) node.number("max-open", 0),
                node.flag("retry-after"),
                node.time("max-retry-after-s"),
                node.time("connect-timeout-s"),
                node.time("conn-idle-s"),
                (int) node.number("multiplex", 1));
    }

    private static PlatformRules rules(Node node) {
        return new PlatformRules(
                node.time("answer-slack-s"),
                node.time("ask-within-s"),
                node.number("start-capacity", 1),
                node.time("cold-s"),
                node.time("drain-grace-s"),
                node.number("fall-multiple", 1),
                node.time("fall-s"));
    }

    private static Prices prices(Node node) {
        return new Prices(
                node.number("cross-zone", 0),
                node.number("waste", 0),
                node.number("probe", 0),
                node.number("late-fail", 0),
                node.number("handshake", 0));
    }

    private static Node readNode(JsonParser json) throws IOException {
        Node node = new Node();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.START_ARRAY) {
                node.lists.put(name, readNodes(json));
            } else {
                readValue(node, name, json, value);
            }
        }
        return node;
    }

    private static List<Node> readNodes(JsonParser json) throws IOException {
        List<Node> list = new ArrayList<>();
        for (JsonToken token = json.nextToken();
                token != null && token != JsonToken.END_ARRAY;
                token = json.nextToken()) {
            if (token == JsonToken.START_OBJECT) {
                list.add(readNode(json));
            } else if (token == JsonToken.START_ARRAY) {
                json.skipChildren();
            } else {
                Node scalar = new Node();
                readValue(scalar, "", json, token);
                list.add(scalar);
            }
        }
        return list;
    }

    private static void readValue(Node node, String name, JsonParser json, JsonToken value) throws IOException {
        switch (value) {
            case START_OBJECT -> node.objects.put(name, readNode(json));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> node.numbers.put(name, json.getDoubleValue());
            case VALUE_TRUE -> node.numbers.put(name, 1.0);
            case VALUE_FALSE -> node.numbers.put(name, 0.0);
            case VALUE_STRING -> node.texts.put(name, json.getText());
            default -> {}
        }
    }
}
