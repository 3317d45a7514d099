package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/**
 * One event of a batch. As the kind may follow other fields, all fields are read before any is checked; an accessor of
 * a required field throws if the field is missing. Missing strings are null, and missing numbers are NaN.
 */
final class Event {
    private static final int MAX_REPORT_VALUES = 8;
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final Map<String, ListKind> LIST_KINDS =
            Map.of("update", ListKind.CHANGES, "replace", ListKind.COMPLETE, "restored", ListKind.RESTORED);
    /** Wire value in place of a list kind if the call to discovery failed. */
    private static final String LIST_UNAVAILABLE = "unavailable";

    private String kindName;
    private double instance = Double.NaN;
    private double seedAsDouble = Double.NaN;
    /** The seed with all its 64 bits, which do not fit into a double. */
    private long seed;

    private SettingsReader.InstanceSettings settings;
    private String requestId;
    private String upstream;
    private double attempt = Double.NaN;
    private double outcomeCode = Double.NaN;
    private double durationSeconds = Double.NaN;
    private Boolean concluded;
    private double[] reportValues;
    private boolean write;
    private boolean retry;
    private double expectedWorkSeconds = Double.NaN;
    private double timeLeftSeconds = Double.NaN;
    private double classIndex = Double.NaN;
    private double tenant = Double.NaN;
    private String affinityKey;
    private String timerToken;
    private String listKindName;
    private List<Upstream> upstreams;
    private double peer = Double.NaN;
    private String peerMessageHex;

    private Event() {}

    // ---- Reading -------------------------------------------------------------------------------------

    /** Reads an event; the parser must be at the start of its object. Unknown fields are skipped. */
    static Event read(JsonParser json) throws InvalidInputException, IOException {
        Event event = new Event();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.VALUE_NULL) {
                continue;
            }
            boolean known = event.readText(name, json, value)
                    || event.readNumber(name, json)
                    || event.readNested(name, json, value);
            if (!known) {
                json.skipChildren();
            }
        }
        return event;
    }

    private boolean readText(String name, JsonParser json, JsonToken value) throws IOException {
        switch (name) {
            case "kind" -> kindName = json.getText();
            case "corr" -> requestId = json.getText();
            case "upstream" -> upstream = json.getText();
            case "entity" -> affinityKey = json.getText();
            case "ctx" -> timerToken = json.getText();
            case "form" -> listKindName = json.getText();
            case "body" -> peerMessageHex = json.getText();
            case "last" -> concluded = value == JsonToken.VALUE_TRUE;
            case "is-write" -> write = value == JsonToken.VALUE_TRUE;
            case "is-retry" -> retry = value == JsonToken.VALUE_TRUE;
            default -> {
                return false;
            }
        }
        return true;
    }

    private boolean readNumber(String name, JsonParser json) throws InvalidInputException, IOException {
        switch (name) {
            case "who" -> instance = number(json, name);
            case "attempt" -> attempt = number(json, name);
            case "ending" -> outcomeCode = number(json, name);
            case "took-s" -> durationSeconds = number(json, name);
            case "effort-s" -> expectedWorkSeconds = number(json, name);
            case "time-budget-s" -> timeLeftSeconds = number(json, name);
            case "lane" -> classIndex = number(json, name);
            case "party" -> tenant = number(json, name);
            case "from" -> peer = number(json, name);
            case "init-seed" -> {
                seedAsDouble = number(json, name);
                seed = json.currentToken() == JsonToken.VALUE_NUMBER_INT
                        ? json.getBigIntegerValue().longValue()
                        : (long) seedAsDouble;
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private boolean readNested(String name, JsonParser json, JsonToken value)
            throws InvalidInputException, IOException {
        if (name.equals("facts") && value == JsonToken.START_OBJECT) {
            settings = SettingsReader.read(json);
        } else if (name.equals("feedback") && value == JsonToken.START_ARRAY) {
            reportValues = readReportValues(json);
        } else if (name.equals("elements") && value == JsonToken.START_ARRAY) {
            upstreams = UpstreamListReader.read(json);
        } else {
            return false;
        }
        return true;
    }

    private static double[] readReportValues(JsonParser json) throws IOException {
        double[] values = new double[MAX_REPORT_VALUES];
        int count = 0;
        JsonToken token = json.nextToken();
        while (token != null && token != JsonToken.END_ARRAY) {
            if (count < values.length) {
                values[count++] = token.isNumeric() ? json.getDoubleValue() : Double.NaN;
            }
            json.skipChildren();
            token = json.nextToken();
        }
        return Arrays.copyOf(values, count);
    }

    /** Returns the number at the parser's position; {@code name} is the field's name for the error message. */
    static double number(JsonParser json, String name) throws InvalidInputException, IOException {
        if (!json.currentToken().isNumeric()) {
            throw new InvalidInputException("field " + name + " is not a number");
        }
        return json.getDoubleValue();
    }

    static void require(boolean present, String field) throws InvalidInputException {
        if (!present) {
            throw new InvalidInputException("field " + field + " is missing or has an unknown value");
        }
    }

    private static int requireInt(double value, String field) throws InvalidInputException {
        require(!Double.isNaN(value), field);
        return (int) value;
    }

    private static String requireText(String value, String field) throws InvalidInputException {
        require(value != null, field);
        return value;
    }

    // ---- Fields --------------------------------------------------------------------------------------

    String kindName() throws InvalidInputException {
        return requireText(kindName, "kind");
    }

    int instance() throws InvalidInputException {
        return requireInt(instance, "who");
    }

    SettingsReader.InstanceSettings settings() throws InvalidInputException {
        require(settings != null, "facts");
        return settings;
    }

    long seed() throws InvalidInputException {
        require(!Double.isNaN(seedAsDouble), "init-seed");
        return seed;
    }

    String requestId() throws InvalidInputException {
        return requireText(requestId, "corr");
    }

    String upstream() throws InvalidInputException {
        return requireText(upstream, "upstream");
    }

    int attempt() throws InvalidInputException {
        return requireInt(attempt, "attempt");
    }

    String timerToken() throws InvalidInputException {
        return requireText(timerToken, "ctx");
    }

    int peer() throws InvalidInputException {
        return requireInt(peer, "from");
    }

    byte[] peerMessage() throws InvalidInputException {
        try {
            return HexFormat.of().parseHex(requireText(peerMessageHex, "body"));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException("field body is not hexadecimal");
        }
    }

    ListKind listKind() throws InvalidInputException {
        ListKind kind = listKindName == null ? null : LIST_KINDS.get(listKindName);
        require(kind != null, "form");
        return kind;
    }

    /** Whether the event reports a failed call to discovery instead of an endpoint list. */
    boolean listUnavailable() {
        return LIST_UNAVAILABLE.equals(listKindName);
    }

    /** The upstreams of an endpoint list. */
    List<Upstream> upstreams() throws InvalidInputException {
        require(upstreams != null, "elements");
        return upstreams;
    }

    Outcome outcome() throws InvalidInputException {
        int code = requireInt(outcomeCode, "ending");
        if (code < 0 || code >= OUTCOMES.length) {
            throw new InvalidInputException("field ending has the unknown outcome " + code);
        }
        return OUTCOMES[code];
    }

    /** The event's load report, or null if it has none; {@code names} are the names of its values, in order. */
    LoadReport loadReport(List<String> names) {
        if (reportValues == null) {
            return null;
        }
        ToDoubleFunction<String> valueByName = name -> {
            int index = names.indexOf(name);
            return index >= 0 && index < reportValues.length ? reportValues[index] : Double.NaN;
        };
        return SettingsReader.loadReport(valueByName);
    }

    Request request() throws InvalidInputException {
        String id = requestId();
        require(!Double.isNaN(timeLeftSeconds), "time-budget-s");
        return new Request(
                id,
                requireInt(classIndex, "lane"),
                Double.isNaN(tenant) ? 0 : (int) tenant,
                affinityKey,
                Double.isNaN(expectedWorkSeconds) ? 0 : WireTime.micros(expectedWorkSeconds),
                WireTime.micros(timeLeftSeconds),
                write,
                retry);
    }

    AttemptEnd attemptEnd(List<String> reportNames) throws InvalidInputException {
        String id = requestId();
        String upstreamId = upstream();
        require(concluded != null, "last");
        int attemptNumber = attempt();
        Outcome outcome = outcome();
        require(!Double.isNaN(durationSeconds), "took-s");
        return new AttemptEnd(
                id,
                attemptNumber,
                upstreamId,
                outcome,
                WireTime.micros(durationSeconds),
                concluded,
                loadReport(reportNames));
    }
}
