package sedgeyoke.consensus.server;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
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
import sedgeyoke.proxy.RateLimitedLog;
import sedgeyoke.settings.ConfigServerSettings;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;
import sedgeyoke.store.Disk;
import sedgeyoke.store.DiskException;
import sedgeyoke.store.FileDisk;

/** One keeper as a process. */
public final class ConfigServerMain {
    private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");
    private static final long HAND_OVER_MS = 300;
    private static final int DISK_FAILED = 3;

    private ConfigServerMain() {}

    /**
     * Runs until SIGTERM, or until its disk fails (3); returns 2 if the file, the folder or the address is no good.
     *
     * @param found whether this keeper is one of those that found a new tier, in a folder that is empty
     */
    public static int run(Path operator, boolean found) throws InterruptedException {
        return run(operator, found, UnaryOperator.identity());
    }

    /** The same on a disk that {@code wrapped} makes of the real one. */
    static int run(Path operator, boolean found, UnaryOperator<Disk> wrapped) throws InterruptedException {
        ConfigServerSettings settings;
        try {
            if (operator == null) {
                return fail("no operator's file: --config or SEDGEYOKE_OPERATOR must name one");
            }
            settings = OperatorFile.load(operator).configServer();
        } catch (InvalidOperatorFileException e) {
            return fail(e.getMessage());
        }
        if (!settings.enabled()) {
            return fail(operator + ": config_server.enabled is not true");
        }
        FileDisk files;
        ReplicaStorage folder;
        try {
            files = FileDisk.open(settings.folder());
        } catch (DiskException e) {
            return fail(settings.folder() + ": " + e.getMessage());
        }
        Disk disk = wrapped.apply(files);
        try {
            folder = open(disk, settings, found);
        } catch (DiskException | UnusableStorageException e) {
            files.close();
            return fail(settings.folder() + ": " + e.getMessage());
        }
        folder.corruptions()
                .forEach(d -> System.err.println("keeper " + settings.name() + ": " + settings.folder() + "/" + d));
        return serve(settings, folder);
    }

    private static ReplicaStorage open(Disk disk, ConfigServerSettings settings, boolean found)
            throws DiskException, UnusableStorageException {
        ReplicaStorage.Owner owner =
                new ReplicaStorage.Owner(settings.tier(), settings.name(), boot(), settings.fsyncMayBeLost());
        if (ReplicaStorage.isEmpty(disk)) {
            List<Member> founders = new ArrayList<>();
            if (found) {
                settings.servers()
                        .forEach((name, at) -> founders.add(
                                new Member(name, 0, at.getAddress().getHostAddress() + ":" + at.getPort())));
            }
            ReplicaStorage.create(disk, owner, new SecureRandom().nextLong() | 1, Membership.of(founders));
        }
        return ReplicaStorage.open(disk, owner);
    }

    /** The system's number of its present start; an empty one where it has none, which is never the same as before. */
    private static String boot() {
        try {
            return Files.readString(BOOT).strip();
        } catch (IOException e) {
            return "";
        }
    }

    private static int serve(ConfigServerSettings settings, ReplicaStorage folder) throws InterruptedException {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        ExecutorService disk = Executors.newSingleThreadExecutor(work -> {
            Thread thread = new Thread(work, "disk");
            thread.setDaemon(true);
            return thread;
        });
        long startedNanos = System.nanoTime();
        LongSupplier clock = () -> (System.nanoTime() - startedNanos) / 1_000;
        CountDownLatch ended = new CountDownLatch(1);
        RateLimitedLog log = new RateLimitedLog(System.err, clock);
        try {
            ConfigServer server = new ConfigServer(
                    loop,
                    disk,
                    settings,
                    new SafetyRules(
                            RaftTiming.defaults(settings.leaseMs() * 1_000, new ClockDrift(settings.driftPpm()))),
                    folder,
                    new SecureRandom().nextLong() | 1,
                    clock,
                    log::line,
                    why -> {
                        System.err.println("keeper " + settings.name() + ": " + why);
                        ended.countDown();
                    });
            System.err.println("keeper " + settings.name() + " listens on " + server.start());
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                if (ended.getCount() > 0) {
                    server.leave();
                    try {
                        TimeUnit.MILLISECONDS.sleep(HAND_OVER_MS); // its successor stands in that time
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }));
        } catch (IOException e) {
            return fail(e.getMessage());
        } catch (RuntimeException e) { // Netty throws what the bind failed with, without declaring it
            return fail("cannot listen on " + settings.listen() + ": " + e.getMessage());
        }
        ended.await();
        return DISK_FAILED;
    }

    private static int fail(String why) {
        System.err.println("cannot start: " + why);
        return 2;
    }
}
