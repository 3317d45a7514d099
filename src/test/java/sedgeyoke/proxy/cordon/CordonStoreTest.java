package sedgeyoke.proxy.cordon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The set of upstreams that are out by hand, and the file that two processes share. */
class CordonStoreTest {
    @TempDir
    private Path folder;

    private Path file;

    @BeforeEach
    void name() {
        file = folder.resolve("cordons");
    }

    @Test
    void theNextProcessReadsTheCordonsOfTheOneBefore() throws Exception {
        CordonStore before = new CordonStore(file);
        assertFalse(before.refresh());
        assertTrue(before.set("s-1", true, 7));
        assertTrue(before.set("s-2", true, 8));
        assertTrue(before.set("s-2", true, 9), "twice is as good as once");
        CordonStore next = new CordonStore(file);
        assertTrue(next.refresh());
        assertEquals(Map.of("s-1", 7L, "s-2", 8L), next.cordons().sinceMicrosById());
        assertTrue(next.set("s-1", false, 10));
        assertTrue(before.refresh());
        assertEquals(Set.of("s-2"), before.cordons().sinceMicrosById().keySet());
        assertFalse(before.refresh(), "no news");
    }

    @Test
    void cordoningAndUncordoningAreIdempotent() throws Exception {
        CordonStore cordons = new CordonStore(file);
        cordons.set("s", true, 1);
        cordons.set("s", true, 2);
        assertTrue(cordons.set("s", false, 3));
        assertEquals(Map.of(), cordons.cordons().sinceMicrosById());
        assertTrue(cordons.set("s", false, 4));
    }

    @Test
    void theNumberOfCordonsIsBounded() throws Exception {
        CordonStore cordons = new CordonStore(null);
        for (int i = 0; i < CordonStore.MAX_CORDONS; i++) {
            assertTrue(cordons.set("s-" + i, true, i));
        }
        assertFalse(cordons.set("one-more", true, 0));
        assertTrue(cordons.set("s-0", true, 0));
        assertTrue(cordons.set("s-0", false, 0));
        assertTrue(cordons.set("one-more", true, 0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                "sedgeyoke cordons 1\n5 s-1\n",
                "sedgeyoke cordons 2\n5 s-1\nend\n",
                "sedgeyoke cordons 1\nfive s-1\nend\n",
                "sedgeyoke cordons 1\n5\nend\n",
                "sedgeyoke cordons 1\nend\n5 s"
            })
    void anInvalidFileChangesNothingAndIsReportedOnce(String content) throws Exception {
        CordonStore cordons = new CordonStore(file);
        cordons.set("s", true, 1);
        Files.writeString(file, content);
        assertThrows(IOException.class, cordons::refresh);
        assertEquals(Set.of("s"), cordons.cordons().sinceMicrosById().keySet());
        assertFalse(cordons.refresh(), "one complaint for each content");
        assertEquals(Set.of("s"), cordons.cordons().sinceMicrosById().keySet());
    }

    @Test
    void aMissingFolderIsAnError() {
        CordonStore cordons = new CordonStore(folder.resolve("nonesuch").resolve("cordons"));
        assertThrows(IOException.class, () -> cordons.set("s", true, 1));
    }

    /** Nothing is lost if both write at the same time. Two JVMs, because file locks are held by the whole JVM. */
    @Test
    void concurrentWritersKeepEachOthersCordons() throws Exception {
        Process[] writers = new Process[2];
        for (int w = 0; w < writers.length; w++) {
            writers[w] = new ProcessBuilder(
                            System.getProperty("java.home") + "/bin/java",
                            "-cp",
                            System.getProperty("java.class.path"),
                            Writer.class.getName(),
                            file.toString(),
                            "w" + w)
                    .redirectErrorStream(true)
                    .start();
        }
        for (Process w : writers) {
            String said = new String(w.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(0, w.waitFor(), said);
        }
        CordonStore read = new CordonStore(file);
        read.refresh();
        assertEquals(2 * Writer.WORDS, read.cordons().sinceMicrosById().size());
    }

    /** A process that takes many upstreams out, one after another. */
    static final class Writer {
        static final int WORDS = 300;

        public static void main(String[] args) throws IOException {
            CordonStore cordons = new CordonStore(Path.of(args[0]));
            for (int i = 0; i < WORDS; i++) {
                cordons.set(args[1] + "-" + i, true, i);
            }
        }
    }
}
