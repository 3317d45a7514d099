package sedgeyoke.plan.remote;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sedgeyoke.plan.PlanSubscriber;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.proxy.core.PolicyPort;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.settings.PlannerSettings;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.Certificates;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.Hello;
import sedgeyoke.transport.proto.LoadReportMessage;
import sedgeyoke.transport.proto.UpstreamLoadMessage;

/** Connections between forwarders and a planner, with valid and with faulty peers. */
class PlannerConnectionTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    @TempDir
    private Path folder;

    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final List<AutoCloseable> open = new ArrayList<>();
    private Certificates certificates;
    private PlannerServer planner;
    private InetSocketAddress address;

    private long now() {
        return System.nanoTime() / 1_000 + 1_000_000_000L;
    }

    @BeforeEach
    void start() throws Exception {
        certificates = new Certificates(folder);
        Path file = Files.writeString(
                folder.resolve("p.toml"),
                "[planner]\nenabled = true\nname = \"p1\"\n"
                        + "plan_every_ms = 50\nmost_forwarders = 4\nlisten = \"127.0.0.1:0\"\n"
                        + certificates.issue("p1", "planner"));
        PlannerSettings settings = OperatorFile.load(file).planner();
        planner = new PlannerServer(loop, settings, 7, this::now, log::add);
        address = planner.start();
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : open) {
            resource.close();
        }
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                fail("not within " + TIMEOUT_MILLIS + " ms: " + what);
            }
            Thread.sleep(2);
        }
    }

    private int connected() {
        return loop.submit(planner::connectedForwarders).syncUninterruptibly().getNow();
    }

    // ---- A peer with blocking sockets ----------------------------------------------------------------------

    /** A client with the certificate of any name and role, which can send invalid frames. */
    private final class RawPeer implements AutoCloseable {
        final SSLSocket socket;
        final DataOutputStream out;
        final DataInputStream in;

        RawPeer(Path with, String name) throws Exception {
            SslContextBuilder builder = SslContextBuilder.forClient()
                    .trustManager(folder.resolve("ca.pem").toFile());
            if (name != null) {
                builder.keyManager(
                        with.resolve(name + ".pem").toFile(),
                        with.resolve(name + ".key").toFile());
            }
            SSLContext context = ((io.netty.handler.ssl.JdkSslContext)
                            builder.sslProvider(io.netty.handler.ssl.SslProvider.JDK)
                                    .build())
                    .context();
            socket = (SSLSocket) context.getSocketFactory().createSocket(address.getAddress(), address.getPort());
            socket.setSoTimeout((int) TIMEOUT_MILLIS);
            open.add(this);
            out = new DataOutputStream(socket.getOutputStream());
            in = new DataInputStream(socket.getInputStream());
        }

        RawPeer send(Frame frame) throws IOException {
            return send(frame.toByteArray());
        }

        RawPeer send(byte[] frame) throws IOException {
            out.writeInt(frame.length);
            out.write(frame);
            out.flush();
            return this;
        }

        /** The next frame; null at the end. */
        Frame read() {
            try {
                return Frame.parseFrom(in.readNBytes(in.readInt()));
            } catch (IOException ended) {
                return null;
            }
        }

        void assertReceivesNoPlan() {
            Frame first = read();
            assertTrue(first == null || first.hasHello() && read() == null, "no plan");
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    private static Frame hello(String name, int lowest, int highest) {
        return Frame.newBuilder()
                .setHello(Hello.newBuilder()
                        .setName(name)
                        .setLowestVersion(lowest)
                        .setHighestVersion(highest))
                .build();
    }

    private static Frame report(long sequence) {
        return Frame.newBuilder()
                .setReport(LoadReportMessage.newBuilder()
                        .setIncarnation(9)
                        .setSequence(sequence)
                        .setSentAtUs(5)
                        .setLeaseUs(1_000_000)
                        .addDemand(3)
                        .addLoads(UpstreamLoadMessage.newBuilder()
                                .setUpstream("u")
                                .setLimit(2)
                                .setUtilisation(0.5f)))
                .build();
    }

    private RawPeer forwarder(String name) throws Exception {
        certificates.issue(name, "forwarder");
        return new RawPeer(folder, name);
    }

    private void assertPlannerServes() throws Exception {
        RawPeer good = forwarder("healthy").send(hello("healthy", 1, 1)).send(report(1));
        assertTrue(good.read().hasHello());
        assertTrue(good.read().hasPlan());
    }

    @Test
    void aForwarderThatReportsReceivesPlans() throws Exception {
        RawPeer good = forwarder("f1").send(hello("f1", 1, 9)).send(report(1));
        assertEquals("p1", good.read().getHello().getName());
        Frame plan = good.read();
        assertEquals(9, plan.getPlan().getEcho().getIncarnation());
        assertEquals(5, plan.getPlan().getEcho().getAtUs());
        assertEquals(1, connected());
        good.close();
        await("disconnected", () -> connected() == 0);
    }

    @Test
    void aMissingOrUntrustedCertificateIsRejected() throws Exception {
        Path elsewhere = Files.createDirectory(folder.resolve("elsewhere"));
        new Certificates(elsewhere).issue("f1", "forwarder");
        for (String name : new String[] {null, "f1"}) {
            try {
                new RawPeer(elsewhere, name)
                        .send(hello("f1", 1, 1))
                        .send(report(1))
                        .assertReceivesNoPlan();
            } catch (IOException rejected) {
                continue; // the handshake has failed at once
            }
        }
        await("two log lines", () -> log.size() == 2);
        assertTrue(log.stream().allMatch(line -> line.contains("TLS handshake failed")), log.toString());
        assertPlannerServes();
    }

    @Test
    void aWrongNameOrRoleClosesTheConnection() throws Exception {
        forwarder("f1").send(hello("f2", 1, 1)).send(report(1)).assertReceivesNoPlan();
        await("a log line", () -> log.stream().anyMatch(line -> line.contains("greets as f2")));
        certificates.issue("p9", "planner");
        new RawPeer(folder, "p9").send(hello("p9", 1, 1)).send(report(1)).assertReceivesNoPlan();
        await("a log line", () -> log.stream().anyMatch(line -> line.contains("is not forwarder")));
        assertEquals(2, log.size(), log.toString());
        assertPlannerServes();
    }

    @Test
    void incompatibleProtocolVersionsCloseTheConnectionAndNewerOnesAreAccepted() throws Exception {
        forwarder("f1").send(hello("f1", 7, 9)).send(report(1)).assertReceivesNoPlan();
        await("a log line", () -> log.stream()
                .anyMatch(line -> line.contains("supports protocol versions 7 to 9, this program 1 to 1")));
        RawPeer newer = forwarder("f2").send(hello("f2", 1, 9));
        byte[] known = report(1).toByteArray();
        byte[] withMore = java.util.Arrays.copyOf(known, known.length + 3);
        withMore[known.length] = (byte) 0xf8; // field 31 as a number, which version 1 has not
        withMore[known.length + 1] = 1;
        withMore[known.length + 2] = 5;
        newer.send(withMore);
        assertTrue(newer.read().hasHello());
        assertTrue(newer.read().hasPlan());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "oversized frame",
                "not protobuf",
                "no hello",
                "two hellos",
                "invalid id",
                "invalid number",
                "too many loads"
            })
    void anInvalidMessageClosesOnlyItsConnection(String fault) throws Exception {
        RawPeer faulty = forwarder("faulty");
        if (!fault.equals("no hello")) {
            faulty.send(hello("faulty", 1, 1));
        }
        LoadReportMessage.Builder report = report(1).getReport().toBuilder();
        switch (fault) {
            case "oversized frame" -> faulty.out.writeInt(FramedConnection.MAX_FRAME_BYTES + 1);
            case "not protobuf" -> faulty.send(new byte[] {(byte) 0xff, 1, 2, 3});
            case "two hellos" -> faulty.send(hello("faulty", 1, 1));
            case "invalid id" -> report.setLoads(
                    0, report.getLoads(0).toBuilder().setUpstream("x".repeat(300)));
            case "invalid number" -> report.setLoads(
                    0, report.getLoads(0).toBuilder().setLimit(Float.NaN));
            case "too many loads" -> {
                for (int i = 0; i < 1_000; i++) {
                    report.addLoads(report.getLoads(0));
                }
            }
            default -> {}
        }
        try {
            faulty.send(Frame.newBuilder().setReport(report).build());
            faulty.assertReceivesNoPlan();
        } catch (IOException closed) {
            assertNotNull(closed); // the connection may close before all is written
        }
        await("one log line", () -> log.size() == 1);
        assertPlannerServes();
        assertEquals(1, log.size(), log.toString());
    }

    @Test
    void aPeerThatDoesNotReadIsDisconnected() throws Exception {
        certificates.issue("slowReader", "forwarder");
        RawPeer slowReader = new RawPeer(folder, "slowReader").send(hello("slowReader", 1, 1));
        long sequence = 0;
        for (int i = 0; i < 40; i++) { // views enough to make plans long
            LoadReportMessage.Builder report =
                    report(++sequence).getReport().toBuilder().clearLoads();
            for (int upstream = 0; upstream < 120; upstream++) {
                report.addLoads(UpstreamLoadMessage.newBuilder()
                        .setUpstream("u" + i + "-" + upstream + "x".repeat(200))
                        .setLimit(1));
            }
            slowReader.send(Frame.newBuilder().setReport(report).build());
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
        try {
            while (log.isEmpty() && System.nanoTime() < end) {
                slowReader.send(report(++sequence));
                Thread.sleep(20); // reports keep the connection from its read timeout
            }
        } catch (IOException closed) {
            assertNotNull(closed);
        }
        assertTrue(log.stream().anyMatch(line -> line.contains("reads too slowly")), log.toString());
        assertPlannerServes();
    }

    @Test
    void forwardersBeyondTheLimitReceiveNoPlans() throws Exception {
        List<RawPeer> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            all.add(forwarder("f" + i).send(hello("f" + i, 1, 1)).send(report(1)));
            assertTrue(all.get(i).read().hasHello());
            assertTrue(all.get(i).read().hasPlan());
        }
        RawPeer fifth = forwarder("f9").send(hello("f9", 1, 1)).send(report(1));
        assertTrue(fifth.read().hasHello());
        fifth.socket.setSoTimeout(300);
        assertNull(fifth.read(), "silence");
        assertTrue(all.get(0).send(report(2)).read().hasPlan());
    }

    @Test
    void aNewConnectionReplacesTheOldOne() throws Exception {
        RawPeer first = forwarder("f1").send(hello("f1", 1, 1)).send(report(1));
        assertTrue(first.read().hasHello());
        RawPeer second = new RawPeer(folder, "f1").send(hello("f1", 1, 1)).send(report(2));
        assertTrue(second.read().hasHello());
        await("the old connection is closed", () -> first.read() == null);
        assertTrue(second.read().hasPlan());
        assertEquals(1, connected());
    }

    @Test
    void changedCertificatesAreReloaded() throws Exception {
        assertPlannerServes();
        Path elsewhere = Files.createDirectory(folder.resolve("renewed"));
        Certificates renewed = new Certificates(elsewhere);
        renewed.issue("p1", "planner");
        renewed.issue("f1", "forwarder");
        for (String file : List.of("p1.pem", "p1.key", "ca.pem")) {
            Files.move(elsewhere.resolve(file), folder.resolve(file), StandardCopyOption.REPLACE_EXISTING);
            Files.setLastModifiedTime(folder.resolve(file), FileTime.fromMillis(System.currentTimeMillis() + 5_000));
        }
        RawPeer withNew = new RawPeer(elsewhere, "f1").send(hello("f1", 1, 1)).send(report(1));
        assertTrue(withNew.read().hasHello());
        assertTrue(log.contains("TLS files reloaded"), log.toString());
        Files.writeString(folder.resolve("p1.key"), "nonsense");
        RawPeer again = new RawPeer(elsewhere, "f1").send(hello("f1", 1, 1)).send(report(2));
        assertTrue(again.read().hasHello(), "unreadable files change nothing");
    }

    @Test
    void unreadableTlsFilesAreNamed() {
        Path none = folder.resolve("none.pem");
        IOException failure =
                assertThrows(IOException.class, () -> MutualTls.forServer(new TlsFiles(none, none, none), log::add));
        assertTrue(failure.toString().contains("none.pem"), failure.toString());
    }

    // ---- The forwarder's side ------------------------------------------------------------------------

    /** A policy with one upstream in slow start, which records the plans it receives. */
    private final class Port implements PolicyPort {
        @Override
        public void setFleetCordons(java.util.Set<String> upstreams) {
            throw new AssertionError("planners disable no upstream");
        }

        final AtomicReference<LoadBalancingPolicy.Plan> plan = new AtomicReference<>();
        final LoadBalancingPolicy module = (LoadBalancingPolicy) java.lang.reflect.Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {LoadBalancingPolicy.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("planUpdated")) {
                        plan.set((LoadBalancingPolicy.Plan) arguments[1]);
                        return null;
                    }
                    return new LoadBalancingPolicy.Summary(
                            List.of(2.0),
                            List.of(new LoadBalancingPolicy.UpstreamStatus(
                                    "u",
                                    0,
                                    LoadBalancingPolicy.State.READY,
                                    50,
                                    1,
                                    1,
                                    1,
                                    3,
                                    0.4,
                                    1,
                                    now() - 1_000,
                                    false,
                                    6)),
                            0);
                });

        @Override
        public long now() {
            return PlannerConnectionTest.this.now();
        }

        @Override
        public void deliver(Runnable event) {
            event.run();
        }

        @Override
        public LoadBalancingPolicy policy() {
            return module;
        }

        @Override
        public void log(String line) {
            log.add(line);
        }
    }

    @Test
    void aForwarderDelegatesQuotaAndReceivesGrants() throws Exception {
        Path file = Files.writeString(
                folder.resolve("f.toml"),
                "[plans]\nenabled = true\nreport_every_ms = 50\n"
                        + "planners = [\"127.0.0.1:" + address.getPort() + "\", \"127.0.0.1:1\"]\n"
                        + certificates.issue("f1", "forwarder"));
        Port port = new Port();
        PlannerClient client = new PlannerClient(
                loop,
                port,
                new PlanSubscriber.Identity("f1", 3, 0, 1_500_000, 4_000_000, 1),
                OperatorFile.load(file).plans());
        loop.execute(client::start);
        await(
                "quiet from the start",
                () -> port.plan.get() != null && port.plan.get().ownQuotaBlockedUntilMicros() > now());
        await(
                "delegated and granted",
                () -> port.plan.get().slowStartQuotas().containsKey("u")
                        && !port.plan.get().slowStartQuotas().get("u").grants().isEmpty());
        assertEquals(
                4.8, port.plan.get().slowStartQuotas().get("u").grants().get(0).rate(), 0.01);
        assertEquals("u", port.plan.get().upstreams().get(0).id());
        assertEquals(
                1, loop.submit(client::activePlanners).syncUninterruptibly().getNow());
    }
}
