package sedgeyoke.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;

/** Keepers and balancers as processes of the program, and what happens when some of them fail. */
class ConsensusProcessesTest {
    private static final long PATIENCE_MS = 60_000;
    private static final List<String> PROGRAM = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-cp",
            System.getProperty("java.class.path"),
            "sedgeyoke.cli.Sedgeyoke");

    /** Three keepers and a way to ask them. */
    private static final class Keepers implements AutoCloseable {
        final Path folder;
        final TierProcesses tier;
        final Map<String, Integer> ports = new LinkedHashMap<>();
        final Map<String, ProgramProcess> processes = new LinkedHashMap<>();
        final List<InetSocketAddress> addresses = new ArrayList<>();
        final ConfigClient client;

        Keepers(Path folder) throws Exception {
            this.folder = folder;
            tier = new TierProcesses(folder, PROGRAM);
            for (String name : List.of("k0", "k1", "k2")) {
                ports.put(name, ProgramProcess.freePort());
                addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(name)));
            }
            for (String name : ports.keySet()) {
                processes.put(name, tier.configServer(name, ports.get(name), ports, 2_000));
                processes.get(name).start();
            }
            client = new ConfigClient(addresses, "op", tier.issueOperator("op"));
            read();
        }

        ConfigVersion read() throws InterruptedException {
            ConfigClient.Answer answer = client.ask(new ClientRequest.Read(), PATIENCE_MS);
            assertEquals(RequestResult.Kind.DONE, answer.outcome().kind());
            return answer.newest();
        }

        /** Sets it, however often the version before is still taking effect; the version that it made. */
        long set(String request, double retries) throws InterruptedException {
            ConfigVersion from = read();
            ConfigDocument next = from.content().with(ConfigSchema.RETRY_RATIO, retries);
            RequestResult outcome =
                    client.set(request, from, "op", "", next, PATIENCE_MS).outcome();
            assertEquals(RequestResult.Kind.DONE, outcome.kind(), outcome.detail());
            return outcome.version();
        }

        ConfigClient.Status status(String name) {
            try {
                return client.status(addresses.get(List.copyOf(ports.keySet()).indexOf(name)));
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        String leader() throws InterruptedException {
            String[] found = new String[1];
            await("a leader", () -> ports.keySet().stream().map(this::status).anyMatch(s -> {
                found[0] = s != null && s.role().equals("leader") ? s.name() : null;
                return found[0] != null;
            }));
            return found[0];
        }

        @Override
        public void close() {
            processes.values().forEach(ProgramProcess::close);
            client.close();
        }
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "not in time: " + what);
            Thread.sleep(20);
        }
    }

    private static void empty(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    /** Whatever was answered is there after every process was killed at once, and a request that comes again is one. */
    @Test
    void whatWasAnsweredOutlivesTheEndOfAll(@TempDir Path folder) throws Exception {
        try (Keepers k = new Keepers(folder)) {
            long version = k.set("one", 0.25);
            k.processes.values().forEach(ProgramProcess::kill);
            for (ProgramProcess p : k.processes.values()) {
                await("its end", () -> !p.alive());
                p.start();
            }
            assertEquals(0.25, k.read().content().number(ConfigSchema.RETRY_RATIO));
            assertEquals(version, k.set("one", 0.25), "the same request, the same version");
            assertNotEquals(version, k.set("two", 0.5));
        }
    }

    /** A leader that stands still is followed by another one, and what it believes when it goes on does no harm. */
    @Test
    void aLeaderThatStandsStillIsReplaced(@TempDir Path folder) throws Exception {
        try (Keepers k = new Keepers(folder)) {
            k.set("one", 0.25);
            String before = k.leader();
            k.processes.get(before).pause(true);
            long version = k.set("two", 0.5);
            k.processes.get(before).pause(false);
            await("it follows", () -> {
                ConfigClient.Status s = k.status(before);
                return s != null && s.role().equals("follower") && s.active() + s.pending() >= version;
            });
            assertNotEquals(before, k.leader());
            assertEquals(0.5, k.read().content().number(ConfigSchema.RETRY_RATIO));
        }
    }

    /** A keeper with an empty disk is another one: it decides nothing under its old name, and joins as a new one. */
    @Test
    void anEmptyDiskUnderAnOldNameIsANewKeeper(@TempDir Path folder) throws Exception {
        try (Keepers k = new Keepers(folder)) {
            k.set("one", 0.25);
            await("its folder is known to all", () -> k.ports.keySet().stream()
                    .map(k::status)
                    .allMatch(s -> s != null && s.voters().stream().allMatch(m -> m.storageId() != 0)));
            long old = k.status("k2").folder();
            k.processes.get("k2").kill();
            await("its end", () -> !k.processes.get("k2").alive());
            empty(k.tier.configServerFolder("k2"));
            k.processes.get("k2").start();
            await("it is there", () -> k.status("k2") != null);
            long folderNow = k.status("k2").folder();
            assertNotEquals(old, folderNow);
            k.set("two", 0.5);
            assertEquals(0, k.status("k2").active(), "nobody tells it anything");
            assertEquals(
                    RequestResult.Kind.DONE,
                    k.client
                            .ask(new ClientRequest.RemoveMember("k2", old), PATIENCE_MS)
                            .outcome()
                            .kind());
            ConfigClient.Answer[] added = new ConfigClient.Answer[1];
            await("it is added", () -> {
                try {
                    added[0] = k.client.ask(
                            new ClientRequest.AddMember(new Member("k2", folderNow, "127.0.0.1:" + k.ports.get("k2"))),
                            PATIENCE_MS);
                    return added[0].outcome().kind() == RequestResult.Kind.DONE;
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            await(
                    "it has caught up and votes",
                    () -> k.status("k0").voters().stream()
                                    .anyMatch(m -> m.name().equals("k2") && m.storageId() == folderNow)
                            && k.status("k2").active() >= 2);
        }
    }

    /** Bits that have rotted while a keeper was down are found, and what was there comes back from the others. */
    @Test
    void whatHasRottedComesBackFromTheOthers(@TempDir Path folder) throws Exception {
        try (Keepers k = new Keepers(folder)) {
            for (int i = 0; i < 3; i++) {
                k.set("r" + i, 0.1 * (1 + i));
            }
            long version = k.read().number();
            k.processes.get("k1").kill();
            await("its end", () -> !k.processes.get("k1").alive());
            Path segment = k.tier.configServerFolder("k1").resolve("log-0000000000000001");
            byte[] bytes = Files.readAllBytes(segment);
            bytes[60] ^= 1; // in the first record
            Files.write(segment, bytes);
            k.processes.get("k1").start();
            await("it is sound and has all", () -> {
                ConfigClient.Status s = k.status("k1");
                return s != null && s.sound() && s.active() + s.pending() >= version;
            });
            assertTrue(Files.readString(folder.resolve("k1.log")).contains("log-0000000000000001"), "it is said");
        }
    }

    @Test
    void twoKeepersCannotHaveOneFolder(@TempDir Path folder) throws Exception {
        try (Keepers k = new Keepers(folder)) {
            List<String> command = new ArrayList<>(PROGRAM);
            command.addAll(List.of(
                    "config-server", "--config", k.folder.resolve("k0.toml").toString()));
            Process second =
                    new ProcessBuilder(command).redirectErrorStream(true).start();
            String said = new String(second.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, second.waitFor(), said);
            assertTrue(said.contains("is held by another process"), said);
        }
    }

    /** The drill in small: three keepers and three balancers, with faults on every way between them. */
    @Test
    void theDrillHoldsInSmall() throws Exception {
        ConsensusDrill.Options options = new ConsensusDrill.Options(3, 3, 16, 3, ConsensusDrill.Mode.FAULTS, PROGRAM);
        ObjectNode figures =
                new ConsensusDrill(options, new PrintWriter(System.out, true, StandardCharsets.UTF_8)).run();
        System.out.println(figures);
        assertEquals(0, figures.path("lost_commits").asInt(), figures.toString());
        assertTrue(figures.path("linearizable").asBoolean(), figures.toString());
        assertTrue(figures.path("writes").asInt() > 0, figures.toString());
        assertEquals(0, figures.path("strict_contradictions").asInt(), figures.toString());
        assertEquals(3, figures.path("keepers_sound_at_end").asInt(), figures.toString());
        assertTrue(
                figures.path("contradiction_max_ms").asLong()
                        <= figures.path("holds_within_ms").asLong() + 100,
                figures.toString());
    }
}
