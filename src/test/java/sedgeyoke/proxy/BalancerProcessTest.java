package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The start, with good and bad configurations, and the end on SIGTERM. */
class BalancerProcessTest {
    @TempDir
    private Path folder;

    /** Clients go on for a while after SIGTERM: they are served, told to go, and lose nothing that was taken. */
    @Test
    void anOrderlyEndServesWhatComesAndFinishesWhatIsHeld() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Peer up = new Peer((request, socket) -> {
                    if (request.headers().get("x-call-id").equals("slow")) {
                        release.await();
                    }
                    Peer.reply(socket, 200, "x");
                });
                Loopback lb = Loopback.setup()
                        .upstream("u", up.address())
                        .setting("\"give-up-s\":2", "\"give-up-s\":4")
                        .start()) {
            Socket held = lb.connect();
            Peer.write(held, Loopback.request("slow", "order", 60_000));
            Socket kept = lb.connect();
            Loopback.await("ready", () -> lb.health() == 200);
            Loopback.await("sent", () -> up.requests.size() == 1);
            Thread end = new Thread(lb.server::shutDown);
            end.start();
            Loopback.await("draining", () -> lb.health() == 503);
            assertEquals(200, lb.ask("late", "order", 60_000).status(), "a new connection");
            Loopback.await("listener closed", () -> refusesConnections(lb));
            assertEquals(
                    200,
                    Loopback.ask(kept, Loopback.request("kept", "order", 60_000))
                            .status(),
                    "an open connection is served on");
            assertEquals(-1, kept.getInputStream().read(), "until it is closed for the end");
            assertTrue(end.isAlive(), "one request is still held");
            release.countDown();
            assertEquals(200, Loopback.answer(held).status());
            end.join(10_000);
            assertTrue(!end.isAlive(), "the end waits for nothing more");
        }
    }

    private static boolean refusesConnections(Loopback lb) {
        try {
            lb.connect();
            return false;
        } catch (ConnectException e) {
            return true;
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'\"probes\":false', '\"probes\":true', ceilings.probes",
        "'\"peers\":false', '\"peers\":true', ceilings.peers",
        "piggyback, pull, report.via",
        "'\"repeat\":\"free\"', '\"repeat\":\"free\",\"stream\":true', stream",
        "'\"conn-idle-s\":1.0,', '', conn-idle-s",
        "'\"repeat\":\"free\"', '\"repeat\":\"maybe\"', repeat"
    })
    void settingsThatCannotBeServedAreRefusedByName(String from, String to, String named) {
        InvalidConfigException bad = assertThrows(
                InvalidConfigException.class,
                () -> Loopback.config(
                        Loopback.SETTINGS.replace(from, to), "127.0.0.1:1", 1024, Loopback.list(1, true)));
        assertTrue(bad.getMessage().contains(named), bad.getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "{}, settings",
        "{, JSON",
        "'', settings",
        "'{\"settings\":[]}', settings",
        "'{\"settings\":{}}', connect-timeout-s"
    })
    void aBadConfigurationEndsTheStartWithOneLine(String json, String named) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, json);
        assertFailedStart(file.toString(), named);
    }

    @Test
    void aMissingConfigurationEndsTheStartWithOneLine() throws Exception {
        assertFailedStart(folder.resolve("nonesuch").toString(), "nonesuch");
    }

    /** The whole program: SIGTERM reaches it, and what it holds is answered before it ends. */
    @Test
    void theProgramEndsOnSigtermWithNothingLost() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Peer up = new Peer((request, socket) -> {
            release.await();
            Peer.reply(socket, 200, "x");
        })) {
            Path file = folder.resolve("config.json");
            Files.write(
                    file,
                    Loopback.configText(
                            Loopback.SETTINGS,
                            "127.0.0.1:1",
                            1024,
                            Loopback.list(1, true, Loopback.member("u", up.address(), "up"))));
            Process process = start(file.toString());
            try (BufferedReader said = process.inputReader()) {
                String line = awaitLine(said, "listens on");
                try (Socket client = new Socket("127.0.0.1", Integer.parseInt(line.replaceAll(".*:", "")))) {
                    Peer.write(client, Loopback.request("id-1", "order", 60_000));
                    Loopback.await("sent", () -> up.requests.size() == 1);
                    process.destroy();
                    release.countDown();
                    assertEquals("x", Loopback.answer(client).body());
                }
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * The whole program: each SIGHUP takes it to the discovery that the file names then, a bad file changes
     * nothing, and SIGTERM still ends it.
     */
    @Test
    void onSighupTheProgramGoesToTheDiscoveryThatTheFileNames() throws Exception {
        Path file = folder.resolve("config.json");
        try (Peer first = discovery("first");
                Peer second = discovery("second");
                Peer third = discovery("third")) {
            Files.write(file, configAt(first));
            Process process = start(file.toString());
            try (BufferedReader said = process.inputReader()) {
                Loopback.await("the first list is asked for", () -> first.requests.size() == 2);
                hangUp(process, file, configAt(second));
                Loopback.await("the second is watched", () -> second.requests.size() == 2);
                assertEquals(
                        "GET /catalog/members HTTP/1.1", second.requests.get(0).line(), "the whole list");
                Loopback.await("the first is left", () -> first.left.get() == 1);
                hangUp(process, file, "{\"name\":".getBytes(StandardCharsets.UTF_8));
                awaitLine(said, "the old configuration stays in force");
                hangUp(process, file, configAt(third));
                Loopback.await("the third is watched", () -> third.requests.size() == 2);
                assertTrue(process.isAlive());
                process.destroy();
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * SIGHUP comes while the configuration is being read for the first time: it is no end, and since what was read may
     * be older than what the signal speaks of, the file is read again. The file is a pipe: the test holds the read.
     */
    @Test
    void aSighupInTheFirstMomentsIsMadeGood() throws Exception {
        Path file = pipe("config.json");
        try (Peer first = discovery("first");
                Peer second = discovery("second")) {
            Process process = start(file.toString());
            try {
                try (OutputStream held = Files.newOutputStream(file)) { // once the program has begun to read
                    hangUp(process, file, configAt(second));
                    held.write(configAt(first));
                }
                Loopback.await("the second is watched", () -> second.requests.size() == 2);
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    /**
     * SIGTERM comes when clients are let in and the rest of the start is not done: what was taken is answered. A file
     * that the rest of the start reads is a pipe, so that the test holds it there.
     */
    @Test
    void aSigtermJustAfterTheFirstClientLosesNothing() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Peer up = new Peer((request, socket) -> {
            release.await();
            Peer.reply(socket, 200, "x");
        })) {
            int port = freePort();
            Path file = Files.writeString(
                    folder.resolve("config.json"),
                    new String(
                                    Loopback.configText(
                                            Loopback.SETTINGS,
                                            "127.0.0.1:1",
                                            1024,
                                            Loopback.list(1, true, Loopback.member("u", up.address(), "up"))),
                                    StandardCharsets.UTF_8)
                            .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
            pipe("held.pem");
            Path operator = Files.writeString(
                    folder.resolve("operator.toml"),
                    "[plans]\nenabled = true\n"
                            + "planners = [\"127.0.0.1:1\"]\ncertificate = \"held.pem\"\nkey = \"held.pem\"\n"
                            + "trust = \"held.pem\"\n");
            Process process = start(file.toString(), "--config", operator.toString());
            try (Socket client = connect(port)) {
                Peer.write(client, Loopback.request("id-1", "order", 60_000));
                Loopback.await("sent", () -> up.requests.size() == 1);
                process.destroy();
                Loopback.await("told", () -> !process.isAlive() || refused(port));
                release.countDown();
                assertEquals("x", Loopback.answer(client).body());
                assertTrue(process.waitFor(10, TimeUnit.SECONDS));
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private Path pipe(String name) throws Exception {
        Path file = folder.resolve(name);
        assertEquals(0, new ProcessBuilder("mkfifo", file.toString()).start().waitFor());
        return file;
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0)) {
            return probe.getLocalPort();
        }
    }

    /** The connection of the first client that is let in. */
    private static Socket connect(int port) throws Exception {
        AtomicReference<Socket> connected = new AtomicReference<>();
        Loopback.await("listens", () -> {
            try {
                connected.set(new Socket("127.0.0.1", port));
                return true;
            } catch (IOException e) {
                return false;
            }
        });
        connected.get().setSoTimeout(10_000);
        return connected.get();
    }

    private static boolean refused(int port) {
        try (Socket probe = new Socket("127.0.0.1", port)) {
            return !probe.isConnected();
        } catch (IOException e) {
            return true;
        }
    }

    /** What the build runs for the archive of classes: were it cut short, starts would be slow and nobody know why. */
    @Test
    void theTrainingGoesThroughToItsEnd() throws Exception {
        Process training = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sedgeyoke.proxy.ClassArchiveTraining")
                .redirectErrorStream(true)
                .start();
        String said = new String(training.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, training.waitFor());
        assertTrue(!said.contains("cut short"), said);
    }

    /** Upstreams were bound under a name and asked for by number: each request was refused, and no answer was warm. */
    @Test
    void theWarmUpAnswersAllItsRequestsAndServesMost() throws Exception {
        BalancerConfig config = Loopback.config(Loopback.SETTINGS, "127.0.0.1:1", 1024, Loopback.list(1, true));
        JitWarmUp.Result result = JitWarmUp.run(config, JitWarmUp.MOST_REQUESTS, 60);
        assertEquals(JitWarmUp.MOST_REQUESTS, result.answered(), "answers");
        assertTrue(result.served() > 0.9 * JitWarmUp.MOST_REQUESTS, "served: " + result.served());
    }

    /** Where each balancer of many has little to do, a dozen that start at once must not compile first. */
    @Test
    void theWarmUpIsShortWhereTrafficIsThin() throws Exception {
        String members = Loopback.list(
                1,
                true,
                IntStream.range(0, 60)
                        .mapToObj(i -> Loopback.member("u" + i, "127.0.0.1:1", "up"))
                        .toArray(String[]::new));
        String many = Loopback.SETTINGS.replace("\"group-size\":1,", "\"group-size\":14,");
        assertEquals(
                JitWarmUp.FEWEST_REQUESTS, JitWarmUp.requests(Loopback.config(many, "127.0.0.1:1", 1024, members)));
        assertEquals(
                JitWarmUp.MOST_REQUESTS,
                JitWarmUp.requests(Loopback.config(Loopback.SETTINGS, "127.0.0.1:1", 1024, members)),
                "one for all");
        assertEquals(
                JitWarmUp.MOST_REQUESTS,
                JitWarmUp.requests(Loopback.config(many, "127.0.0.1:1", 1024, Loopback.list(1, true))),
                "nothing known");
    }

    private static byte[] configAt(Peer discovery) {
        return Loopback.configText(Loopback.SETTINGS, discovery.address(), 1024, Loopback.list(1, true));
    }

    /** Discovery that names one upstream and then has no news; revisions are the same everywhere. */
    private static Peer discovery(String id) throws IOException {
        return new Peer((request, socket) -> {
            if (!request.line().contains("from=")) {
                Peer.reply(socket, 200, Loopback.list(7, true, Loopback.member(id, "127.0.0.1:1", "up")));
            }
        });
    }

    /** Replaces the file as a whole, as deployments do, and sends SIGHUP. */
    static void hangUp(Process process, Path file, byte[] text) throws Exception {
        Path next = Files.write(file.resolveSibling("next"), text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    static String awaitLine(BufferedReader said, String wanted) throws IOException {
        String line = said.readLine();
        while (line != null && !line.contains(wanted)) {
            line = said.readLine();
        }
        assertTrue(line != null, "the program ended without saying: " + wanted);
        return line;
    }

    private static Process start(String config, String... arguments) throws IOException {
        ProcessBuilder start = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "sedgeyoke.serve.BalancerMain")
                .redirectErrorStream(true);
        start.command().addAll(List.of(arguments));
        start.environment().put("BALANCER_CONFIG", config);
        return start.start();
    }

    private static void assertFailedStart(String config, String named) throws Exception {
        Process process = start(config);
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor() != 0);
        assertEquals(1, said.lines().count(), said);
        assertTrue(said.contains(named), said);
    }
}
