package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/** Reads the settings that an instance is created with. Keys it does not know are skipped. */
public final class SettingsReader {
    static final Set<String> EVENTS = Set.of(
            "create",
            "destroy",
            "sync",
            "work-item",
            "answer",
            "ping-result",
            "client-gone",
            "opened",
            "reminder",
            "whisper");

    private static final Map<String, Effect> EFFECTS =
            Map.of("free", Effect.SAFE, "guarded", Effect.IDEMPOTENT_WITH_KEY, "single_shot", Effect.UNSAFE);
    private static final Map<String, Scope> SCOPES = Map.of("all", Scope.ALL, "zone", Scope.ZONE, "cell", Scope.CELL);
    private static final Map<String, Reports> VIA =
            Map.of("piggyback", Reports.IN_RESPONSES, "pull", Reports.BY_HEALTH_CHECK, "silent", Reports.NONE);
    private static final Map<String, Ratings> WEIGHTS =
            Map.of("silent", Ratings.NONE, "nominal", Ratings.NOMINAL, "rough", Ratings.ROUGH, "live", Ratings.LIVE);

    private SettingsReader() {}

    /** What was found: the settings for the module, and the names that stand for its indices elsewhere. */
    public record Found(
            Settings settings,
            List<String> reportNames,
            List<String> classNames,
            List<String> tenantNames,
            List<String> localities,
            List<String> kinds) {}

    /** One object of the settings, flat: numbers and bools as numbers, texts, and lists of objects. */
    private static final class Node {
        final Map<String, Double> numbers = new HashMap<>();
        final Map<String, String> texts = new HashMap<>();
        final Map<String, Node> objects = new HashMap<>();
        final Map<String, List<Node>> lists = new HashMap<>();

        double number(String name, double otherwise) {
            return numbers.getOrDefault(name, otherwise);
        }

        long time(String name) {
            return BatchReader.micros(number(name, 0));
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

        <T> T choice(String name, Map<String, T> values, T otherwise) throws InvalidInputException {
            String text = texts.get(name);
            if (text == null) {
                return otherwise;
            }
            if (!values.containsKey(text)) {
                throw new InvalidInputException("setting " + name + " has the unknown value " + text);
            }
            return values.get(text);
        }
    }

    /** A load report from its values by name; NaN for one that is not there. */
    public static LoadReport loadReport(ToDoubleFunction<String> value) {
        return new LoadReport(
                value.applyAsDouble("cpu"),
                value.applyAsDouble("active"),
                value.applyAsDouble("waiting"),
                value.applyAsDouble("avg_ms") * 1_000,
                value.applyAsDouble("rps"),
                value.applyAsDouble("err_rps"));
    }

    /** Reads the object that the parser has just entered. */
    public static Found read(JsonParser json) throws InvalidInputException, IOException {
        Node facts = node(json);
        List<RequestClass> classes = new ArrayList<>();
        for (Node c : facts.list("classes")) {
            classes.add(new RequestClass(
                    c.time("aim-s"),
                    c.number("aim-stretch", 0),
                    c.time("give-up-s"),
                    c.number("worth", 1),
                    c.number("late-worth", 0),
                    c.choice("repeat", EFFECTS, Effect.UNSAFE),
                    c.choice("dedup-scope", SCOPES, Scope.CELL),
                    c.time("memory-span-s"),
                    c.flag("stream")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Node t : facts.list("parties")) {
            tenants.add(new Tenant(t.number("allowance-per-s", 0), t.number("share", 0)));
        }
        Node report = facts.object("report");
        Settings settings = new Settings(
                (int) facts.number("az", 0),
                Math.max(1, facts.list("localities").size()),
                (int) facts.number("position", 0),
                (int) facts.number("group-size", 1),
                classes,
                tenants,
                facts.number("over-share-worth", 1),
                "work".equals(facts.texts.get("counted-by")),
                limits(facts.object("ceilings")),
                rules(facts.object("rules")),
                prices(facts.object("prices")),
                report.choice("via", VIA, Reports.NONE),
                facts.choice("weights", WEIGHTS, Ratings.NONE),
                "on_request".equals(facts.texts.get("discovery")),
                facts.object("extra").flag("warm-keys"),
                facts.time("tick-s"));
        return new Found(
                settings,
                texts(report, "names", ""),
                texts(facts, "classes", "name"),
                texts(facts, "parties", "name"),
                texts(facts, "localities", ""),
                texts(facts, "kinds", ""));
    }

    private static List<String> texts(Node node, String list, String field) {
        return node.list(list).stream()
                .map(n -> n.texts.getOrDefault(field, ""))
                .toList();
    }

    private static Limits limits(Node n) {
        return new Limits(
                (int) n.number("try-limit", 1),
                n.flag("may-duplicate"),
                n.flag("probes"),
                n.flag("cancel"),
                n.flag("peers"),
                (int) n.number("max-open", 0),
                n.flag("retry-after"),
                n.time("max-retry-after-s"),
                n.time("connect-timeout-s"),
                n.time("conn-idle-s"),
                (int) n.number("multiplex", 1));
    }

    private static PlatformRules rules(Node n) {
        return new PlatformRules(
                n.time("answer-slack-s"),
                n.time("ask-within-s"),
                n.number("start-capacity", 1),
                n.time("cold-s"),
                n.time("drain-grace-s"),
                n.number("fall-multiple", 1),
                n.time("fall-s"));
    }

    private static Prices prices(Node n) {
        return new Prices(
                n.number("cross-zone", 0),
                n.number("waste", 0),
                n.number("probe", 0),
                n.number("late-fail", 0),
                n.number("handshake", 0));
    }

    private static Node node(JsonParser json) throws IOException {
        Node node = new Node();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.START_ARRAY) {
                node.lists.put(name, nodes(json));
            } else {
                value(node, name, json, value);
            }
        }
        return node;
    }

    private static List<Node> nodes(JsonParser json) throws IOException {
        List<Node> list = new ArrayList<>();
        for (JsonToken t = json.nextToken(); t != null && t != JsonToken.END_ARRAY; t = json.nextToken()) {
            if (t == JsonToken.START_OBJECT) {
                list.add(node(json));
            } else if (t == JsonToken.START_ARRAY) {
                json.skipChildren();
            } else {
                Node scalar = new Node();
                value(scalar, "", json, t);
                list.add(scalar);
            }
        }
        return list;
    }

    private static void value(Node node, String name, JsonParser json, JsonToken value) throws IOException {
        switch (value) {
            case START_OBJECT -> node.objects.put(name, node(json));
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> node.numbers.put(name, json.getDoubleValue());
            case VALUE_TRUE -> node.numbers.put(name, 1.0);
            case VALUE_FALSE -> node.numbers.put(name, 0.0);
            case VALUE_STRING -> node.texts.put(name, json.getText());
            default -> {}
        }
    }
}
