package sedgeyoke.consensus.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.MessageLite;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;

/**
 * Encoded messages, one a line, compared with the recording in {@code src/test/resources/wire}. Those of each run are
 * left in {@code target/wire}.
 */
final class RecordedBytes {
    private final StringBuilder text = new StringBuilder();

    /** Adds one message under the name of its case. */
    void add(String name, MessageLite message) {
        text.append(name)
                .append(' ')
                .append(HexFormat.of().formatHex(message.toByteArray()))
                .append('\n');
    }

    /** Fails unless the messages are equal to the recording of that name. */
    void assertRecorded(String recording) throws IOException {
        Path lastRun = Files.createDirectories(Path.of("target/wire")).resolve(recording + ".txt");
        Files.writeString(lastRun, text);
        assertEquals(Files.readString(Path.of("src/test/resources/wire", recording + ".txt")), text.toString());
    }
}
