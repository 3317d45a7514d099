package sedgeyoke.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.util.HexFormat;
import sedgeyoke.policy.LoadBalancingPolicy;

/** Writes the actions of all instances into one reply. */
final class ReplyWriter {
    private static final JsonFactory JSON = new JsonFactory();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(1 << 14);
    private JsonGenerator json;

    void begin() throws IOException {
        bytes.reset();
        json = JSON.createGenerator(bytes);
        json.writeStartObject();
        json.writeArrayFieldStart("decisions");
    }

    ByteArrayOutputStream end() throws IOException {
        json.writeEndArray();
        json.writeEndObject();
        json.close();
        bytes.write('\n');
        return bytes;
    }

    LoadBalancingPolicy.Actions forInstance(int who) {
        return new Writer(who);
    }

    void bug(int who, String text) {
        new Writer(who).action("bug", () -> json.writeStringField("msg", text));
    }

    /** Writes one field or more of an action. */
    private interface Fields {
        void write() throws IOException;
    }

    /** The sink of one instance. */
    private final class Writer implements LoadBalancingPolicy.Actions {
        private final int who;

        Writer(int who) {
            this.who = who;
        }

        private void action(String kind, Fields fields) {
            try {
                json.writeStartObject();
                json.writeStringField("kind", kind);
                json.writeNumberField("who", who);
                fields.write();
                json.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void seconds(String field, long micros) throws IOException {
            json.writeFieldName(field);
            json.writeNumber(BigDecimal.valueOf(micros, 6).toPlainString());
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
        public void setTimer(String token, long delay) {
            action("remind", () -> {
                json.writeStringField("ctx", token);
                seconds("sleep-for-s", delay);
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
        public void watchEndpoints(boolean on) {
            action("tail", () -> json.writeBooleanField("want", on));
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
