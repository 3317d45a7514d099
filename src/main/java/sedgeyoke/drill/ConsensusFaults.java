package sedgeyoke.drill;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import sedgeyoke.standin.FaultProxy;
import sedgeyoke.standin.Site;

/** Injects faults that a seed draws into the processes and connections of a consensus drill, and undoes them. */
final class ConsensusFaults {
    private static final int CYCLE_SECONDS = 4;
    private static final int FAULT_MS = 3_000;
    private static final int RECOVERY_MS = 1_000;
    /** A balancer is isolated in one of this many cycles. */
    private static final int ISOLATION_CYCLES = 3;

    private static final int FLIP_ATTEMPTS = 10_000;
    private static final String STORED_FILES = "(log|mark|slot|snap)-.*";
    private static final Kind[] KINDS = Kind.values();

    private final Site site;
    private final ConsensusTier tier;
    private final ConsensusHistory history;
    private final FaultCounts counts;
    private final SplittableRandom random;

    ConsensusFaults(Site site, ConsensusTier tier, ConsensusHistory history, FaultCounts counts, long seed) {
        this.site = site;
        this.tier = tier;
        this.history = history;
        this.counts = counts;
        this.random = new SplittableRandom(seed);
    }

    /** Faults of one config server, in the order in which the seed draws them. */
    private enum Kind {
        KILLED("killed"),
        STOPPED("stopped"),
        CUT_ONE_WAY("cut_one_way"),
        CUT_OFF("cut_off"),
        SLOW("slow"),
        BIT_FLIPPED("bit_flipped");

        private final String metric;

        Kind(String metric) {
            this.metric = metric;
        }
    }

    /** Injects faults for a time; the last cycles have none, so that the config servers can recover. */
    void run(int seconds, boolean enabled) throws IOException, InterruptedException {
        for (int second = 0; second < seconds; second += CYCLE_SECONDS) {
            boolean lastCycles = second + 2 * CYCLE_SECONDS >= seconds;
            if (enabled && !lastCycles) {
                injectAndHeal();
            } else {
                Thread.sleep(FAULT_MS);
                tier.clearFaults();
            }
            Thread.sleep(RECOVERY_MS);
        }
    }

    private void injectAndHeal() throws IOException, InterruptedException {
        List<Integer> faulty = injectIntoMinority();
        long startMicros = site.now();
        OptionalInt isolated = isolateBalancer();
        Thread.sleep(FAULT_MS);
        tier.clearFaults();
        isolated.ifPresent(balancer -> history.recordIsolation(balancer, startMicros, site.now()));
        for (int server : faulty) {
            recover(tier.configServer(server));
        }
    }

    private static void recover(ProgramProcess process) throws IOException, InterruptedException {
        process.pause(false);
        if (!process.alive()) {
            process.start();
        }
    }

    private List<Integer> injectIntoMinority() throws IOException, InterruptedException {
        int minority = (tier.configServerCount() - 1) / 2;
        List<Integer> faulty = new ArrayList<>();
        while (faulty.size() < 1 + random.nextInt(minority)) {
            int server = random.nextInt(tier.configServerCount());
            if (!faulty.contains(server)) {
                faulty.add(server);
                inject(KINDS[random.nextInt(KINDS.length)], server);
            }
        }
        return faulty;
    }

    private OptionalInt isolateBalancer() {
        if (random.nextInt(ISOLATION_CYCLES) != 0) {
            return OptionalInt.empty();
        }
        int balancer = random.nextInt(tier.balancerCount());
        counts.increment("balancer_cut_off");
        for (FaultProxy proxy : tier.proxiesOfBalancer(balancer)) {
            proxy.stall(true, random.nextBoolean());
        }
        tier.adminProxy(balancer).stall(true, true);
        return OptionalInt.of(balancer);
    }

    private void inject(Kind kind, int server) throws IOException, InterruptedException {
        counts.increment(kind.metric);
        ProgramProcess process = tier.configServer(server);
        switch (kind) {
            case KILLED -> process.kill();
            case STOPPED -> process.pause(true);
            case CUT_ONE_WAY -> tier.proxiesFrom(server).forEach(proxy -> proxy.stall(true, false));
            case CUT_OFF -> {
                tier.proxiesFrom(server).forEach(proxy -> proxy.cut(true));
                tier.proxiesTo(server).forEach(proxy -> proxy.cut(true));
            }
            case SLOW -> tier.proxiesTo(server).forEach(proxy -> proxy.stall(false, true));
            case BIT_FLIPPED -> {
                process.kill();
                flipBit(tier.configServerFolder(server));
            }
            default -> throw new IllegalArgumentException(kind.toString());
        }
    }

    /** Flips one bit of a non-zero byte, since unused space at the end of a file is zero. */
    private void flipBit(Path folder) throws IOException {
        Path file;
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> stored = files.filter(
                            path -> path.getFileName().toString().matches(STORED_FILES))
                    .sorted()
                    .toList();
            file = stored.get(random.nextInt(stored.size()));
        }
        try (RandomAccessFile storage = new RandomAccessFile(file.toFile(), "rw")) {
            byte[] content = new byte[(int) storage.length()];
            storage.readFully(content);
            for (int attempt = 0; attempt < FLIP_ATTEMPTS; attempt++) {
                int position = random.nextInt(Math.max(1, content.length));
                if (content.length > 0 && content[position] != 0) {
                    storage.seek(position);
                    storage.write(content[position] ^ 1 << random.nextInt(8));
                    return;
                }
            }
        }
    }
}
