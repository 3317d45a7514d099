package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** Reads batches, one per line. A batch has the current time and an array of events. */
final class BatchReader {
    private static final String CLOCK = "moment-s";
    private static final String EVENTS = "input";
    private static final JsonFactory JSON = JsonFactory.builder()
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .build();

    private final EventDispatcher events;
    private final ReplyWriter replies;

    BatchReader(EventDispatcher events, ReplyWriter replies) {
        this.events = events;
        this.replies = replies;
    }

    /** Dispatches the events of one batch, and returns the reply with the resulting actions. */
    ByteArrayOutputStream reply(byte[] line, int length) throws InvalidInputException, IOException {
        replies.begin();
        double clockSeconds = Double.NaN;
        boolean eventsSeen = false;
        boolean eventsPending = false;
        try (JsonParser json = JSON.createParser(line, 0, length)) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("not a JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                JsonToken value = json.nextToken();
                if (name.equals(CLOCK) && value.isNumeric()) {
                    clockSeconds = json.getDoubleValue();
                } else if (name.equals(EVENTS) && value == JsonToken.START_ARRAY) {
                    eventsSeen = true;
                    eventsPending = Double.isNaN(clockSeconds);
                    if (eventsPending) {
                        json.skipChildren();
                    } else {
                        dispatchAll(json, WireTime.micros(clockSeconds));
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
        requireFields(clockSeconds, eventsSeen);
        if (eventsPending) {
            dispatchSkipped(line, length, WireTime.micros(clockSeconds));
        }
        return replies.end();
    }

    private static void requireFields(double clockSeconds, boolean eventsSeen) throws InvalidInputException {
        if (Double.isNaN(clockSeconds)) {
            throw new InvalidInputException("no current time (" + CLOCK + ")");
        }
        if (!eventsSeen) {
            throw new InvalidInputException("no array of events (" + EVENTS + ")");
        }
    }

    /** Parses a line again to dispatch its events, which were skipped because they preceded the time. */
    private void dispatchSkipped(byte[] line, int length, long now) throws InvalidInputException, IOException {
        try (JsonParser json = JSON.createParser(line, 0, length)) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                boolean isEvents = json.currentName().equals(EVENTS);
                json.nextToken();
                if (isEvents) {
                    dispatchAll(json, now);
                } else {
                    json.skipChildren();
                }
            }
        }
    }

    private void dispatchAll(JsonParser json, long now) throws InvalidInputException, IOException {
        while (json.nextToken() == JsonToken.START_OBJECT) {
            events.dispatch(Event.read(json), now);
        }
        if (json.currentToken() != JsonToken.END_ARRAY) {
            throw new InvalidInputException("an event is not a JSON object");
        }
    }
}
