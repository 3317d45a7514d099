package sedgeyoke.startup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.settings.OperatorFile;

class ServerStartupTest {
    private static final InetSocketAddress ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    @Test
    void aMissingOperatorFileIsReported() {
        StartupException failure =
                assertThrows(StartupException.class, () -> ServerStartup.load(null, OperatorFile::planner));
        assertEquals("no operator's file: --config or SEDGEYOKE_OPERATOR must name one", failure.getMessage());
    }

    @Test
    void anInvalidOperatorFileIsReportedWithItsProblem(@TempDir Path directory) throws IOException {
        Path file = Files.writeString(directory.resolve("operator.toml"), "[planner]\nno_such_key = 1\n");
        StartupException failure =
                assertThrows(StartupException.class, () -> ServerStartup.load(file, OperatorFile::planner));
        assertTrue(failure.getMessage().contains("no_such_key"), failure.getMessage());
    }

    @Test
    void aDisabledSectionIsReportedWithItsKey() {
        Path file = Path.of("operator.toml");
        StartupException failure = assertThrows(
                StartupException.class, () -> ServerStartup.requireEnabled(false, file, "planner.enabled"));
        assertEquals("operator.toml: planner.enabled is not true", failure.getMessage());
    }

    @Test
    void anAddressThatCannotBeBoundIsReported() {
        StartupException failure = assertThrows(
                StartupException.class,
                () -> ServerStartup.listen("planner p1", ADDRESS, () -> {
                    throw new IllegalStateException("Address already in use");
                }));
        assertEquals("cannot listen on " + ADDRESS + ": Address already in use", failure.getMessage());
    }

    @Test
    void tlsFilesThatCannotBeLoadedAreReported() {
        StartupException failure = assertThrows(
                StartupException.class,
                () -> ServerStartup.listen("planner p1", ADDRESS, () -> {
                    throw new IOException("TLS files: none.pem cannot be read");
                }));
        assertEquals("TLS files: none.pem cannot be read", failure.getMessage());
    }

    @Test
    void incarnationsAreNeverZero() {
        for (int draw = 0; draw < 100; draw++) {
            assertNotEquals(0, ServerStartup.newIncarnation());
        }
    }

    @Test
    void theClockSinceStartBeginsAtZero() {
        LongSupplier clock = ServerStartup.clockSinceStart();
        long micros = clock.getAsLong();
        assertTrue(micros >= 0 && micros < 60_000_000, micros + " µs");
    }
}
