package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.HexFormat;
import sedgeyoke.policy.LoadBalancingPolicy;

/** Writes the actions of all policy instances as the JSON reply to a batch. */
final class ReplyWriter {
    private static final JsonFactory JSON = new JsonFactory();
    /** Decimal places of a time in seconds. */
    private static final int MICROS_SCALE = 6;

    private static final int INITIAL_BYTES = 1 << 14;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    private JsonGenerator json;

    /** Starts the reply to a batch. */
    void begin() throws IOException {
        bytes.reset();
        json = JSON.createGenerator(bytes);
        json.writeStartObject();
        json.writeArrayFieldStart("decisions");
    }

    /** Ends the reply and returns it. The next reply reuses the returned stream. */
    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        bytes.write('\n');
        return bytes;
    }

    /** Returns the actions interface for one policy instance. */
    LoadBalancingPolicy.Actions forInstance(int number) {
        return new InstanceActions(number);
    }

    /** Reports an exception that a policy instance threw. */
    void reportException(int number, String text) {
        new InstanceActions(number).action("bug", () -> json.writeStringField("msg", text));
    }

    /** Writes the fields that are specific to one kind of action. */
    private interface Fields {
        void write() throws IOException;
    }

    /** Writes the actions of one policy instance to the reply. */
    private final class InstanceActions implements LoadBalancingPolicy.Actions {
        private final int number;

        InstanceActions(int number) {
            this.number = number;
        }

        private void action(String kind, Fields fields) {
            try {
                json.writeStartObject();
                json.writeStringField("kind", kind);
                json.writeNumberField("who", number);
                fields.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void seconds(String field, long micros) throws IOException {
            json.writeFieldName(field);
            json.writeNumber(BigDecimal.valueOf(micros, MICROS_SCALE).toPlainString());
        }

        @Override
        public void send(String request, String upstream, long timeout) {
            action("relay", () -> {
                json.writeStringField("corr", request);
                json.writeStringField("upstream", upstream);
                if (timeout != 0) {
                    seconds("allow-for-s", timeout);
                }
            });
        }

        @Override
        public void reject(String request, long retryAfter) {
            action("turn-away", () -> {
                json.writeStringField("corr", request);
                if (retryAfter != 0) {
                    seconds("come-back-s", retryAfter);
                }
            });
        }

        @Override
        public void fail(String request) {
            action("surrender", () -> json.writeStringField("corr", request));
        }

        @Override
        public void cancel(String request, int attempt) {
            action("cancel", () -> {
                json.writeStringField("corr", request);
                json.writeNumberField("attempt", attempt);
            });
        }

        @Override
        public void setTimer(LoadBalancingPolicy.Timer timer, long delayMicros) {
            action("remind", () -> {
                json.writeStringField("ctx", timer.token());
                seconds("sleep-for-s", delayMicros);
            });
        }

        @Override
        public void healthCheck(String upstream) {
            action("ask-load", () -> json.writeStringField("upstream", upstream));
        }

        @Override
        public void closeIdle(String upstream) {
            action("shut-idle", () -> json.writeStringField("upstream", upstream));
        }

        @Override
        public void watchEndpoints(boolean enabled) {
            action("tail", () -> json.writeBooleanField("want", enabled));
        }

        @Override
        public void fetchEndpoints() {
            action("reload", () -> {});
        }

        @Override
        public void sendToPeer(int peer, byte[] body) {
            action("share", () -> {
                if (peer < 0) {
                    json.writeStringField("target", "all");
                } else {
                    json.writeNumberField("target", peer);
                }
                json.writeStringField("body", HexFormat.of().formatHex(body));
            });
        }

        @Override
        public void log(String text) {
            action("record", () -> json.writeStringField("msg", text));
        }
    }
}
