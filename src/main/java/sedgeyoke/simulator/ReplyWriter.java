package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.HexFormat;
import sedgeyoke.policy.LoadBalancingPolicy;

/** Writes the actions of all instances into one reply, as the wire names them. */
final class ReplyWriter {
    private static final JsonFactory JSON = new JsonFactory();
    /** Decimal places of a time in seconds. */
    private static final int MICROS_SCALE = 6;

    private static final int INITIAL_BYTES = 1 << 14;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    private JsonGenerator json;

    /** Starts the reply of a batch. */
    void begin() throws IOException {
        bytes.reset();
        json = JSON.createGenerator(bytes);
        json.writeStartObject();
        json.writeArrayFieldStart("decisions");
    }

    /** Ends the reply and returns it; the stream is reused for the next one. */
    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        bytes.write('\n');
        return bytes;
    }

    /** The actions of one instance. */
    LoadBalancingPolicy.Actions forInstance(int number) {
        return new InstanceActions(number);
    }

    /** Reports an exception of an instance. */
    void bug(int number, String text) {
        new InstanceActions(number).action("bug", () -> json.writeStringField("msg", text));
    }

    /** Writes the fields of an action. */
    private interface Fields {
        void write() throws IOException;
    }

    /** Writes the actions of one instance. */
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
