package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Reads one batch at a time and hands its events to the instances. */
final class BatchReader {
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .build();
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final Map<String, State> STATES =
            Map.of("Ready", State.READY, "Terminating", State.DRAINING, "Gone", State.REMOVED);
    private static final Map<String, ListKind> FORMS = Map.of(
            "update",
            ListKind.CHANGES,
            "replace",
            ListKind.COMPLETE,
            "restored",
            ListKind.RESTORED,
            "unavailable",
            ListKind.UNAVAILABLE);

    private final PolicyInstances desk;
    private final ReplyWriter replies;
    private final PrintStream err;
    private final Map<Integer, List<String>> reportNames = new java.util.HashMap<>();

    BatchReader(PolicyInstances desk, ReplyWriter replies, PrintStream err) {
        this.desk = desk;
        this.replies = replies;
        this.err = err;
    }

    /** The fields of one event, whatever its kind; a text that is absent is null, a number NaN. */
    private static final class Event {
        String kind;
        double who = Double.NaN;
        double seed = Double.NaN;
        long seedExact;
        SettingsReader.Found facts;
        String corr;
        String upstream;
        double attempt = Double.NaN;
        double ending = Double.NaN;
        double took = Double.NaN;
        Boolean last;
        double[] feedback;
        boolean write;
        boolean retry;
        double effort = Double.NaN;
        double budget = Double.NaN;
        double lane = Double.NaN;
        double party = Double.NaN;
        String entity;
        String ctx;
        String form;
        List<Upstream> elements;
        double from = Double.NaN;
        String body;
    }

    /** Answers one line; what the modules do goes into the reply. */
    ByteArrayOutputStream answer(byte[] line, int length) throws InvalidInputException, IOException {
        replies.begin();
        double now = Double.NaN;
        boolean inputFirst = false;
        boolean inputSeen = false;
        try (JsonParser json = JSON.createParser(line, 0, length)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                JsonToken value = json.nextToken();
                if (name.equals("moment-s") && value.isNumeric()) {
                    now = json.getDoubleValue();
                } else if (name.equals("input") && value == JsonToken.START_ARRAY) {
                    inputSeen = true;
                    inputFirst = Double.isNaN(now);
                    if (inputFirst) {
                        json.skipChildren();
                    } else {
                        events(json, micros(now));
                    }
                } else {
                    json.skipChildren();
                }
            }
            if (json.nextToken() != null) {
                throw new InvalidInputException("text after the end of the batch");
            }
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(
                    "not JSON: " + e.getOriginalMessage().lines().findFirst().orElse(""));
        }
        if (Double.isNaN(now)) {
            throw new InvalidInputException("no clock (moment-s)");
        }
        if (!inputSeen) {
            throw new InvalidInputException("no array of events (input)");
        }
        if (inputFirst) {
            again(line, length, micros(now));
        }
        return replies.end();
    }

    /** The clock came after the events: read these now that the time is known. */
    private void again(byte[] line, int length, long now) throws InvalidInputException, IOException {
        try (JsonParser json = JSON.createParser(line, 0, length)) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean input = json.currentName().equals("input");
                json.nextToken();
                if (input) {
                    events(json, now);
                } else {
                    json.skipChildren();
                }
            }
        }
    }

    private void events(JsonParser json, long now) throws InvalidInputException, IOException {
        while (json.nextToken() == JsonToken.START_OBJECT) {
            dispatch(read(json), now);
        }
        if (json.currentToken() != JsonToken.END_ARRAY) {
            throw new InvalidInputException("an event that is not an object");
        }
    }

    private Event read(JsonParser json) throws InvalidInputException, IOException {
        Event e = new Event();
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            JsonToken value = json.nextToken();
            if (value == JsonToken.VALUE_NULL) {
                continue;
            }
            if (!texts(e, name, json, value) && !numbers(e, name, json) && !nested(e, name, json, value)) {
                json.skipChildren();
            }
        }
        return e;
    }

    private static boolean texts(Event e, String name, JsonParser json, JsonToken value) throws IOException {
        switch (name) {
            case "kind" -> e.kind = json.getText();
            case "corr" -> e.corr = json.getText();
            case "upstream" -> e.upstream = json.getText();
            case "entity" -> e.entity = json.getText();
            case "ctx" -> e.ctx = json.getText();
            case "form" -> e.form = json.getText();
            case "body" -> e.body = json.getText();
            case "last" -> e.last = value == JsonToken.VALUE_TRUE;
            case "is-write" -> e.write = value == JsonToken.VALUE_TRUE;
            case "is-retry" -> e.retry = value == JsonToken.VALUE_TRUE;
            default -> {
                return false;
            }
        }
        return true;
    }

    private static boolean numbers(Event e, String name, JsonParser json) throws InvalidInputException, IOException {
        switch (name) {
            case "who" -> e.who = number(json, name);
            case "attempt" -> e.attempt = number(json, name);
            case "ending" -> e.ending = number(json, name);
            case "took-s" -> e.took = number(json, name);
            case "effort-s" -> e.effort = number(json, name);
            case "time-budget-s" -> e.budget = number(json, name);
            case "lane" -> e.lane = number(json, name);
            case "party" -> e.party = number(json, name);
            case "from" -> e.from = number(json, name);
            case "init-seed" -> {
                e.seed = number(json, name);
                e.seedExact = json.currentToken() == JsonToken.VALUE_NUMBER_INT
                        ? json.getBigIntegerValue().longValue()
                        : (long) e.seed;
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private static boolean nested(Event e, String name, JsonParser json, JsonToken value)
            throws InvalidInputException, IOException {
        if (name.equals("facts") && value == JsonToken.START_OBJECT) {
            e.facts = SettingsReader.read(json);
        } else if (name.equals("feedback") && value == JsonToken.START_ARRAY) {
            e.feedback = row(json);
        } else if (name.equals("elements") && value == JsonToken.START_ARRAY) {
            e.elements = entries(json);
        } else {
            return false;
        }
        return true;
    }

    static double number(JsonParser json, String name) throws InvalidInputException, IOException {
        if (!json.currentToken().isNumeric()) {
            throw new InvalidInputException("field " + name + " is not a number");
        }
        return json.getDoubleValue();
    }

    private static double[] row(JsonParser json) throws IOException {
        double[] values = new double[8];
        int n = 0;
        for (JsonToken t = json.nextToken(); t != null && t != JsonToken.END_ARRAY; t = json.nextToken()) {
            if (n < values.length) {
                values[n++] = t.isNumeric() ? json.getDoubleValue() : Double.NaN;
            }
            json.skipChildren();
        }
        return java.util.Arrays.copyOf(values, n);
    }

    private static List<Upstream> entries(JsonParser json) throws InvalidInputException, IOException {
        List<Upstream> list = new ArrayList<>();
        while (json.nextToken() == JsonToken.START_OBJECT) {
            list.add(entry(json));
        }
        return list;
    }

    private static Upstream entry(JsonParser json) throws InvalidInputException, IOException {
        String id = null;
        int zone = 0;
        int kind = 0;
        int cell = 0;
        State state = null;
        double rating = 1;
        double launched = 0;
        while (json.nextToken() == JsonToken.FIELD_NAME) {
            String name = json.currentName();
            if (json.nextToken() == JsonToken.VALUE_NULL) {
                continue;
            }
            switch (name) {
                case "upstream" -> id = json.getText();
                case "failure-domain" -> zone = (int) number(json, name);
                case "type" -> kind = (int) number(json, name);
                case "block" -> cell = (int) number(json, name);
                case "readiness" -> state = STATES.get(json.getText());
                case "rating" -> rating = number(json, name);
                case "launched-s" -> launched = number(json, name);
                default -> json.skipChildren();
            }
        }
        required(id != null, "upstream (in elements)");
        required(state != null, "readiness (in elements)");
        return new Upstream(id, zone, kind, cell, state, rating, micros(launched));
    }

    private void dispatch(Event e, long now) throws InvalidInputException {
        required(e.kind != null, "kind");
        if (!SettingsReader.EVENTS.contains(e.kind)) {
            err.println("skipped an event of unknown kind " + e.kind);
            return;
        }
        int who = whole(e.who, "who");
        switch (e.kind) {
            case "create" -> create(e, who, now);
            case "destroy" -> {
                desk.destroy(who);
                reportNames.remove(who);
            }
            case "sync" -> sync(e, who, now);
            case "work-item" -> workItem(e, who, now);
            case "answer" -> answer(e, who, now);
            case "ping-result" -> ping(e, who, now);
            case "client-gone" -> {
                required(e.corr != null, "corr");
                desk.tell(who, b -> b.clientDisconnected(now, e.corr));
            }
            case "opened" -> {
                required(e.corr != null, "corr");
                int attempt = whole(e.attempt, "attempt");
                desk.tell(who, b -> b.responseStarted(now, e.corr, attempt));
            }
            case "reminder" -> {
                required(e.ctx != null, "ctx");
                desk.tell(who, b -> b.timerFired(now, e.ctx));
            }
            default -> whisper(e, who, now);
        }
    }

    private void create(Event e, int who, long now) throws InvalidInputException {
        required(e.facts != null, "facts");
        whole(e.seed, "init-seed");
        Settings settings = e.facts.settings();
        reportNames.put(who, e.facts.reportNames());
        desk.create(who, now, e.seedExact, settings);
    }

    private void sync(Event e, int who, long now) throws InvalidInputException {
        ListKind kind = e.form == null ? null : FORMS.get(e.form);
        required(kind != null, "form");
        required(e.elements != null || kind == ListKind.UNAVAILABLE, "elements");
        List<Upstream> entries = e.elements == null ? List.of() : e.elements;
        desk.tell(who, b -> b.endpointsUpdated(now, kind, entries));
    }

    private void workItem(Event e, int who, long now) throws InvalidInputException {
        required(e.corr != null, "corr");
        required(!Double.isNaN(e.budget), "time-budget-s");
        int lane = whole(e.lane, "lane");
        Request request = new Request(
                e.corr,
                lane,
                Double.isNaN(e.party) ? 0 : (int) e.party,
                e.entity,
                Double.isNaN(e.effort) ? 0 : micros(e.effort),
                micros(e.budget),
                e.write,
                e.retry);
        desk.tell(who, b -> b.requestArrived(now, request));
    }

    private void answer(Event e, int who, long now) throws InvalidInputException {
        required(e.corr != null, "corr");
        required(e.upstream != null, "upstream");
        required(e.last != null, "last");
        AttemptEnd end = new AttemptEnd(
                e.corr, whole(e.attempt, "attempt"), e.upstream, outcome(e), took(e), e.last, report(e, who));
        desk.tell(who, b -> b.attemptEnded(now, end));
    }

    private void ping(Event e, int who, long now) throws InvalidInputException {
        required(e.upstream != null, "upstream");
        Outcome outcome = outcome(e);
        LoadReport load = report(e, who);
        desk.tell(who, b -> b.healthCheckCompleted(now, e.upstream, outcome, load));
    }

    private void whisper(Event e, int who, long now) throws InvalidInputException {
        int from = whole(e.from, "from");
        required(e.body != null, "body");
        byte[] body;
        try {
            body = HexFormat.of().parseHex(e.body);
        } catch (IllegalArgumentException bad) {
            throw new InvalidInputException("field body is not hex digits");
        }
        desk.tell(who, b -> b.peerMessageReceived(now, from, body));
    }

    private static long took(Event e) throws InvalidInputException {
        required(!Double.isNaN(e.took), "took-s");
        return micros(e.took);
    }

    private static Outcome outcome(Event e) throws InvalidInputException {
        int code = whole(e.ending, "ending");
        if (code < 0 || code >= OUTCOMES.length) {
            throw new InvalidInputException("field ending has no outcome " + code);
        }
        return OUTCOMES[code];
    }

    private LoadReport report(Event e, int who) {
        List<String> names = reportNames.get(who);
        if (e.feedback == null || names == null) {
            return null;
        }
        return SettingsReader.loadReport(name -> {
            int place = names.indexOf(name);
            return place >= 0 && place < e.feedback.length ? e.feedback[place] : Double.NaN;
        });
    }

    static long micros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static void required(boolean there, String field) throws InvalidInputException {
        if (!there) {
            throw new InvalidInputException("field " + field + " is missing or not understood");
        }
    }

    private static int whole(double value, String field) throws InvalidInputException {
        required(!Double.isNaN(value), field);
        return (int) value;
    }
}
