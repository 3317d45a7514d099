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

/** Config servers and balancers as processes, when some of them fail. */
class ConsensusProcessesTest {
    private static final long TIMEOUT_MS = 60_000;
    private static final List<String> PROGRAM = List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-cp",
            System.getProperty("java.class.path"),
            "sedgeyoke.cli.Sedgeyoke");

    /** Three config servers and a client of them. */
    private static final class ConfigServers implements AutoCloseable {
        final Path folder;
        final TierProcesses tier;
        final Map<String, Integer> ports = new LinkedHashMap<>();
        final Map<String, ProgramProcess> processes = new LinkedHashMap<>();
        final List<InetSocketAddress> addresses = new ArrayList<>();
        final ConfigClient client;

        ConfigServers(Path folder) throws Exception {
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
            ConfigClient.Answer answer = client.ask(new ClientRequest.Read(), TIMEOUT_MS);
            assertEquals(RequestResult.Kind.DONE, answer.outcome().kind());
            return answer.newest();
        }

        /** Writes a version, even if the previous one is not in force yet, and returns its number. */
        long set(String requestId, double retryRatio) throws InterruptedException {
            ConfigVersion from = read();
            ConfigDocument next = from.content().with(ConfigSchema.RETRY_RATIO, retryRatio);
            RequestResult outcome =
                    client.set(requestId, from, "op", "", next, TIMEOUT_MS).outcome();
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
        long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < end, "not in time: " + what);
            Thread.sleep(20);
        }
    }

    private static void deleteAll(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        }
    }

    /** A repeat of a request that was answered before returns the version that it made then. */
    @Test
    void acknowledgedWritesSurviveAKillOfAllServers(@TempDir Path folder) throws Exception {
        try (ConfigServers servers = new ConfigServers(folder)) {
            long version = servers.set("one", 0.25);
            servers.processes.values().forEach(ProgramProcess::kill);
            for (ProgramProcess process : servers.processes.values()) {
                await("the process ends", () -> !process.alive());
                process.start();
            }
            assertEquals(0.25, servers.read().content().number(ConfigSchema.RETRY_RATIO));
            assertEquals(version, servers.set("one", 0.25), "the same request, the same version");
            assertNotEquals(version, servers.set("two", 0.5));
        }
    }

    /** When the stopped leader continues, it follows the new one. */
    @Test
    void aStoppedLeaderIsReplaced(@TempDir Path folder) throws Exception {
        try (ConfigServers servers = new ConfigServers(folder)) {
            servers.set("one", 0.25);
            String before = servers.leader();
            servers.processes.get(before).pause(true);
            long version = servers.set("two", 0.5);
            servers.processes.get(before).pause(false);
            await("the old leader follows", () -> {
                ConfigClient.Status s = servers.status(before);
                return s != null && s.role().equals("follower") && s.active() + s.pending() >= version;
            });
            assertNotEquals(before, servers.leader());
            assertEquals(0.5, servers.read().content().number(ConfigSchema.RETRY_RATIO));
        }
    }

    /** It may not vote under its old name: it does not know what it promised. It has to be added again. */
    @Test
    void aServerWithAnEmptyDiskIsANewMember(@TempDir Path folder) throws Exception {
        try (ConfigServers servers = new ConfigServers(folder)) {
            servers.set("one", 0.25);
            await("all servers know all storage ids", () -> servers.ports.keySet().stream()
                    .map(servers::status)
                    .allMatch(s -> s != null && s.voters().stream().allMatch(m -> m.storageId() != 0)));
            long oldStorageId = servers.status("k2").folder();
            servers.processes.get("k2").kill();
            await("the process ends", () -> !servers.processes.get("k2").alive());
            deleteAll(servers.tier.configServerFolder("k2"));
            servers.processes.get("k2").start();
            await("the server answers", () -> servers.status("k2") != null);
            long newStorageId = servers.status("k2").folder();
            assertNotEquals(oldStorageId, newStorageId);
            servers.set("two", 0.5);
            assertEquals(0, servers.status("k2").active(), "it gets no entries");
            assertEquals(
                    RequestResult.Kind.DONE,
                    servers.client
                            .ask(new ClientRequest.RemoveMember("k2", oldStorageId), TIMEOUT_MS)
                            .outcome()
                            .kind());
            ConfigClient.Answer[] added = new ConfigClient.Answer[1];
            await("the server is added", () -> {
                try {
                    added[0] = servers.client.ask(
                            new ClientRequest.AddMember(
                                    new Member("k2", newStorageId, "127.0.0.1:" + servers.ports.get("k2"))),
                            TIMEOUT_MS);
                    return added[0].outcome().kind() == RequestResult.Kind.DONE;
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            await(
                    "the server has caught up and votes",
                    () -> servers.status("k0").voters().stream()
                                    .anyMatch(m -> m.name().equals("k2") && m.storageId() == newStorageId)
                            && servers.status("k2").active() >= 2);
        }
    }

    /** The corruption is logged, and the server recovers the lost entries from the others. */
    @Test
    void corruptEntriesAreRecoveredFromTheOthers(@TempDir Path folder) throws Exception {
        try (ConfigServers servers = new ConfigServers(folder)) {
            for (int i = 0; i < 3; i++) {
                servers.set("r" + i, 0.1 * (1 + i));
            }
            long version = servers.read().number();
            servers.processes.get("k1").kill();
            await("the process ends", () -> !servers.processes.get("k1").alive());
            Path segment = servers.tier.configServerFolder("k1").resolve("log-0000000000000001");
            byte[] bytes = Files.readAllBytes(segment);
            bytes[60] ^= 1; // in the first record
            Files.write(segment, bytes);
            servers.processes.get("k1").start();
            await("the server has recovered all entries", () -> {
                ConfigClient.Status s = servers.status("k1");
                return s != null && s.sound() && s.active() + s.pending() >= version;
            });
            assertTrue(
                    Files.readString(folder.resolve("k1.log")).contains("log-0000000000000001"),
                    "the corruption is logged");
        }
    }

    @Test
    void twoServersCannotShareAFolder(@TempDir Path folder) throws Exception {
        try (ConfigServers servers = new ConfigServers(folder)) {
            List<String> command = new ArrayList<>(PROGRAM);
            command.addAll(List.of(
                    "config-server",
                    "--config",
                    servers.folder.resolve("k0.toml").toString()));
            Process second =
                    new ProcessBuilder(command).redirectErrorStream(true).start();
            String output = new String(second.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(2, second.waitFor(), output);
            assertTrue(output.contains("is held by another process"), output);
        }
    }

    /** Three config servers and three balancers, with faults. */
    @Test
    void aSmallDrillFindsNoFault() throws Exception {
        ConsensusDrill.Options options = new ConsensusDrill.Options(3, 3, 16, 3, ConsensusDrill.Mode.FAULTS, PROGRAM);
        ObjectNode metrics =
                new ConsensusDrill(options, new PrintWriter(System.out, true, StandardCharsets.UTF_8)).run();
        System.out.println(metrics);
        assertEquals(0, metrics.path("lost_commits").asInt(), metrics.toString());
        assertTrue(metrics.path("linearizable").asBoolean(), metrics.toString());
        assertTrue(metrics.path("writes").asInt() > 0, metrics.toString());
        assertEquals(0, metrics.path("strict_contradictions").asInt(), metrics.toString());
        assertEquals(3, metrics.path("keepers_sound_at_end").asInt(), metrics.toString());
        assertTrue(
                metrics.path("contradiction_max_ms").asLong()
                        <= metrics.path("holds_within_ms").asLong() + 100,
                metrics.toString());
    }
}
