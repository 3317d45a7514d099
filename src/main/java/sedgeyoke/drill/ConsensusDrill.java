package sedgeyoke.drill;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.consensus.server.ConfigResponse;
import sedgeyoke.consensus.server.ServerStatus;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.Site;

/**
 * Runs config servers and balancers as processes under faults, writes and traffic. Checks from outside that the config
 * servers are linearizable and that balancers apply the newest version in time, by the requests that still arrive at a
 * disabled node.
 */
public final class ConsensusDrill {
    /** The operator in whose name the drill reads and writes. */
    static final String OPERATOR = "op";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int NODES = 12;
    private static final double LOAD = 0.5;
    private static final int WRITERS = 2;
    private static final long LEADER_TIMEOUT_MS = 60_000;
    private static final long FINAL_READ_TIMEOUT_MS = 30_000;

    private final Options options;
    private final PrintWriter out;
    private final FaultCounts faults = new FaultCounts();
    private final ConsensusHistory history = new ConsensusHistory(ConsensusTier.LEASE_MS);
    private volatile boolean stopped;

    /** Whether faults are injected, and how balancers learn of changes. */
    public enum Mode {
        /** With faults. */
        FAULTS,
        /** Without faults, for comparison. */
        QUIET,
        /** With faults, but balancers do not follow the config servers: changes go to the admin endpoint of each. */
        WITHOUT
    }

    /** The size, length and seed of a run, and the command that starts the program. */
    public record Options(int configServers, int balancers, int seconds, long seed, Mode mode, List<String> program) {
        /** Copies the command. */
        public Options {
            program = List.copyOf(program);
        }
    }

    /** Violations of invariants are printed to {@code out}. */
    public ConsensusDrill(Options options, PrintWriter out) {
        this.options = options;
        this.out = out;
    }

    /** Runs the drill and returns its metrics; {@code ok} is false if one misses its target. */
    public ObjectNode run() throws IOException, InterruptedException {
        try (DrillFolder folder = new DrillFolder("consensus");
                Site site = new Site(Sites.orders(NODES), ConsensusTier.ZONE_SHARES, options.seed());
                ConsensusTier tier = new ConsensusTier(site, folder.path(), options)) {
            site.run(() -> site.checker()
                    .onArrival((balancer, node, now) ->
                            history.recordArrival(ConsensusTier.balancerIndex(balancer), node, now)));
            TlsFiles files = tier.operatorFiles(OPERATOR);
            awaitLeader(tier, files);
            Thread.sleep(2 * ConsensusTier.LEASE_MS);
            site.startClients(LOAD * site.spec().capacity());
            List<Thread> writers = startWriters(site, tier, files);
            new ConsensusFaults(site, tier, history, faults, options.seed() + 1)
                    .run(options.seconds(), options.mode() != Mode.QUIET);
            stopped = true;
            for (Thread writer : writers) {
                writer.join();
            }
            site.stopClients();
            return metrics(site, tier, files);
        }
    }

    private List<Thread> startWriters(Site site, ConsensusTier tier, TlsFiles files) {
        ConfigWriter.AdminBroadcast broadcast =
                options.mode() == Mode.WITHOUT ? new ConfigWriter.AdminBroadcast(tier, faults) : null;
        ConfigWriter.Target target = new ConfigWriter.Target(NODES, site, tier, files, broadcast);
        List<Thread> writers = new ArrayList<>();
        for (int i = 0; i < WRITERS; i++) {
            long seed = options.seed() * 7 + i;
            Thread writer = new Thread(new ConfigWriter("w" + i, target, history, seed, () -> stopped));
            writers.add(writer);
            writer.start();
        }
        return writers;
    }

    private static void awaitLeader(ConsensusTier tier, TlsFiles files) throws IOException, InterruptedException {
        try (ConfigClient client = new ConfigClient(tier.configServerAddresses(), OPERATOR, files)) {
            ConfigResponse answer = client.submit(new ClientRequest.Read(), LEADER_TIMEOUT_MS);
            if (answer.result().kind() != RequestResult.Kind.DONE) {
                throw new IOException("config servers elected no leader within a minute");
            }
        }
    }

    /** The newest version at the end, or null if the config servers do not respond. */
    private static ConfigVersion readFinalVersion(ConsensusTier tier, TlsFiles files)
            throws IOException, InterruptedException {
        try (ConfigClient client = new ConfigClient(tier.configServerAddresses(), OPERATOR, files)) {
            ConfigResponse answer = client.submit(new ClientRequest.Read(), FINAL_READ_TIMEOUT_MS);
            return answer.result().kind() == RequestResult.Kind.DONE ? answer.newest() : null;
        }
    }

    /** The final status of the config servers: how many have recovered, and their contradiction bound. */
    private record FinalStatus(int recovered, long holdsWithinMs) {}

    private static FinalStatus readFinalStatus(ConsensusTier tier, TlsFiles files)
            throws IOException, InterruptedException {
        int recovered = 0;
        long holdsWithinMs = 0;
        try (ConfigClient client = new ConfigClient(tier.configServerAddresses(), OPERATOR, files)) {
            for (InetSocketAddress address : tier.configServerAddresses()) {
                Optional<ServerStatus> status = client.status(address);
                if (status.isPresent()) {
                    holdsWithinMs = status.get().activationBoundMillis();
                    recovered += status.get().recovered() ? 1 : 0;
                }
            }
        }
        return new FinalStatus(recovered, holdsWithinMs);
    }

    private ObjectNode metrics(Site site, ConsensusTier tier, TlsFiles files) throws IOException, InterruptedException {
        ConfigVersion finalVersion = readFinalVersion(tier, files);
        FinalStatus status = readFinalStatus(tier, files);
        InvariantChecker.Summary summary = site.summary();
        long committed = history.count(RequestResult.Kind.DONE);
        long lostCommits = finalVersion == null ? -1 : history.lostCommits(finalVersion.number());
        boolean linearizable = history.linearizable();
        ConsensusHistory.Contradictions contradictions = history.contradictions();
        int strictContradictions = history.strictContradictions();
        ObjectNode metrics = JSON.createObjectNode()
                .put("drill", "agree") // earlier name of the drill, which scripts select by
                .put("seed", options.seed())
                .put("seconds", options.seconds())
                .put("keepers", options.configServers())
                .put("balancers", options.balancers())
                .put("mode", options.mode().toString().toLowerCase(Locale.ROOT));
        metrics.set("faults", JSON.valueToTree(faults.byName()));
        metrics.put("writes", committed)
                .put("unknown", history.count(RequestResult.Kind.UNKNOWN))
                .put("lost_commits", lostCommits)
                .put("linearizable", linearizable)
                .put("contradiction_max_ms", contradictions.maxMs())
                .put("holds_within_ms", status.holdsWithinMs())
                .put("strict_contradictions", strictContradictions)
                .put("alone_max_ms", contradictions.isolatedMaxMs())
                .put("keepers_sound_at_end", status.recovered())
                .put("service", Math.round(summary.service() * 1e4) / 1e4)
                .put("requests", summary.requests())
                .put("rule_violations", summary.ruleViolations())
                .put("judge_stalled_ms", site.ask(site.checker()::stalledMs));
        site.ask(site.checker()::violations).forEach(violation -> out.println("rule: " + violation));
        long boundMs = status.holdsWithinMs() + ConsensusHistory.IN_TRANSIT_MICROS / 1_000;
        boolean safe =
                lostCommits == 0 && linearizable && contradictions.maxMs() <= boundMs && strictContradictions == 0;
        boolean live = committed > 0 && status.recovered() == options.configServers();
        return metrics.put("ok", safe && live && summary.ruleViolations() == 0);
    }
}
