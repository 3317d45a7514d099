package sedgeyoke.consensus.server;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.Membership;
import sedgeyoke.consensus.RaftTiming;
import sedgeyoke.consensus.SafetyRules;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.consensus.storage.UnusableStorageException;
import sedgeyoke.lease.ClockDrift;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.settings.ConfigServerSettings;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.startup.ServerStartup;
import sedgeyoke.startup.StartupException;
import sedgeyoke.store.Corruption;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.FileDisk;

/** Runs one config server as a process. */
public final class ConfigServerMain {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    /** Time for another server to win an election before this process exits. */
    private static final long LEADERSHIP_TRANSFER_MILLIS = 300;

    private static final int EXIT_SERVER_FAILED = 3;

    private ConfigServerMain() {}

    /**
     * Runs until SIGTERM or a failure of the disk or of the Raft node.
     *
     * @param operatorFile path of the operator's file; null if none was given
     * @param bootstrap whether a server with an empty directory is a founding member of a new tier (cluster of config
     *     servers); otherwise it waits to be added to a running one
     * @return {@link StartupException#EXIT_CODE} if the server cannot start, 3 if it has failed
     */
    public static int run(Path operatorFile, boolean bootstrap) throws InterruptedException {
        return run(operatorFile, bootstrap, UnaryOperator.identity());
    }

    /** Runs with the disk that {@code wrapper} returns for the real one; for tests that inject faults. */
    static int run(Path operatorFile, boolean bootstrap, UnaryOperator<Disk> wrapper) throws InterruptedException {
        CountDownLatch failed = new CountDownLatch(1);
        try {
            ConfigServerSettings settings = ServerStartup.load(operatorFile, OperatorFile::configServer);
            ServerStartup.requireEnabled(settings.enabled(), operatorFile, "config_server.enabled");
            start(settings, openStorage(settings, bootstrap, wrapper), failed);
        } catch (StartupException e) {
            return e.report();
        }
        failed.await();
        return EXIT_SERVER_FAILED;
    }

    // ---- Storage -------------------------------------------------------------------------------------

    private static ReplicaStorage openStorage(
            ConfigServerSettings settings, boolean bootstrap, UnaryOperator<Disk> wrapper) throws StartupException {
        FileDisk files;
        try {
            files = FileDisk.open(settings.folder());
        } catch (DiskException e) {
            throw new StartupException(settings.folder() + ": " + e.getMessage());
        }
        try {
            ReplicaStorage storage = openStorage(wrapper.apply(files), settings, bootstrap);
            for (Corruption corruption : storage.corruptions()) {
                System.err.println(logName(settings) + ": " + settings.folder() + "/" + corruption);
            }
            return storage;
        } catch (DiskException | UnusableStorageException e) {
            files.close();
            throw new StartupException(settings.folder() + ": " + e.getMessage());
        }
    }

    private static ReplicaStorage openStorage(Disk disk, ConfigServerSettings settings, boolean bootstrap)
            throws DiskException, UnusableStorageException {
        ReplicaStorage.Owner owner =
                new ReplicaStorage.Owner(settings.tier(), settings.name(), bootId(), settings.fsyncMayBeLost());
        if (ReplicaStorage.isEmpty(disk)) {
            Membership founders = Membership.of(bootstrap ? configuredMembers(settings) : List.of());
            ReplicaStorage.create(disk, owner, ServerStartup.newIncarnation(), founders);
        }
        return ReplicaStorage.open(disk, owner);
    }

    private static List<Member> configuredMembers(ConfigServerSettings settings) {
        List<Member> members = new ArrayList<>();
        settings.servers().forEach((name, address) -> members.add(new Member(name, 0, hostAndPort(address))));
        return members;
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Returns the id that the operating system drew at boot; empty if it has none. */
    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException e) {
            return "";
        }
    }

    // ---- Server --------------------------------------------------------------------------------------

    private static void start(ConfigServerSettings settings, ReplicaStorage storage, CountDownLatch failed)
            throws StartupException {
        EventLoop loop = ServerStartup.newEventLoop();
        LongSupplier clock = ServerStartup.clockSinceStart();
        RateLimitedLog log = new RateLimitedLog(System.err, clock);
        SafetyRules rules = new SafetyRules(RaftTiming.defaults(
                settings.leaseMs() * RaftTiming.MICROS_PER_MILLI, new ClockDrift(settings.driftPpm())));
        ServerStartup.listen(logName(settings), settings.listen(), () -> {
            ConfigServer.Host host = new ConfigServer.Host(loop, newDiskThread(), clock, log::line, reason -> {
                System.err.println(logName(settings) + ": " + reason);
                failed.countDown();
            });
            ConfigServer server = new ConfigServer(host, settings, rules, storage, ServerStartup.newIncarnation());
            InetSocketAddress address = server.start();
            transferLeadershipOnShutdown(server, failed);
            return address;
        });
    }

    private static ExecutorService newDiskThread() {
        return Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "disk");
            thread.setDaemon(true);
            return thread;
        });
    }

    private static void transferLeadershipOnShutdown(ConfigServer server, CountDownLatch failed) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            if (failed.getCount() == 0) {
                return;
            }
            server.transferLeadership();
            try {
                TimeUnit.MILLISECONDS.sleep(LEADERSHIP_TRANSFER_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
    }

    private static String logName(ConfigServerSettings settings) {
        return "config server " + settings.name();
    }
}
