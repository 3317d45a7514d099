package sedgeyoke.drill;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigSchema;
import sedgeyoke.consensus.RequestResult;
import sedgeyoke.consensus.server.ConfigClient;
import sedgeyoke.consensus.server.ConfigResponse;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.FaultProxy;
import sedgeyoke.standin.Site;

/**
 * Writes new config versions in a loop: each is based on the newest one, disables a random node and enables the one
 * that the newest version disables. Records all reads and writes in the history.
 */
final class ConfigWriter implements Runnable {
    private static final long REQUEST_TIMEOUT_MS = 8_000;
    private static final int MIN_PAUSE_MS = 3_000;
    private static final int PAUSE_SPREAD_MS = 4_000;

    private final Target target;
    private final String name;
    private final ConsensusHistory history;
    private final SplittableRandom random;
    private final BooleanSupplier stopped;

    /**
     * The config servers and nodes that all writers of a drill share.
     *
     * @param nodes number of nodes of the site
     * @param files the TLS files of an operator
     * @param broadcast applies changes to balancers that do not follow the config servers; null where they do
     */
    record Target(int nodes, Site site, ConsensusTier tier, TlsFiles files, AdminBroadcast broadcast) {}

    /** Creates a writer that ends after its current write once {@code stopped} is true. */
    ConfigWriter(String name, Target target, ConsensusHistory history, long seed, BooleanSupplier stopped) {
        this.name = name;
        this.target = target;
        this.history = history;
        this.random = new SplittableRandom(seed);
        this.stopped = stopped;
    }

    @Override
    public void run() {
        try (ConfigClient client =
                new ConfigClient(target.tier().configServerAddresses(), ConsensusDrill.OPERATOR, target.files())) {
            for (int i = 0; !stopped.getAsBoolean(); i++) {
                long startMicros = target.site().now();
                ConfigResponse current = client.submit(new ClientRequest.Read(), REQUEST_TIMEOUT_MS);
                if (current.result().kind() == RequestResult.Kind.DONE) {
                    history.recordRead(
                            startMicros, target.site().now(), current.result().version());
                    write(client, current, name + "-" + i);
                    Thread.sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
                }
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void write(ConfigClient client, ConfigResponse current, String requestId) throws InterruptedException {
        ConfigDocument previous = current.newest().content();
        String node = "n" + (1 + random.nextInt(target.nodes()));
        ConfigDocument content = previous.with(ConfigSchema.DISABLED_UPSTREAMS, Map.of(node, "drill"));
        long startMicros = target.site().now();
        RequestResult result = client.write(requestId, current.newest(), name, "drill", content, REQUEST_TIMEOUT_MS)
                .result();
        if (target.broadcast() != null && result.kind() == RequestResult.Kind.DONE) {
            target.broadcast().send(previous, content);
        }
        history.recordWrite(startMicros, target.site().now(), result, content);
    }

    /**
     * Applies a change to every balancer through its admin endpoint, one after the other, as a script with a list of
     * balancers would. A balancer that does not respond is skipped.
     */
    static final class AdminBroadcast {
        private static final Duration TIMEOUT = Duration.ofSeconds(1);

        private final ConsensusTier tier;
        private final FaultCounts counts;
        private final HttpClient http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(TIMEOUT)
                .build();

        AdminBroadcast(ConsensusTier tier, FaultCounts counts) {
            this.tier = tier;
            this.counts = counts;
        }

        /** Cordons the nodes that {@code next} disables, and uncordons those that only the previous one disables. */
        synchronized void send(ConfigDocument previous, ConfigDocument next) throws InterruptedException {
            Map<String, String> commandByNode = new LinkedHashMap<>();
            next.names(ConfigSchema.DISABLED_UPSTREAMS).keySet().forEach(node -> commandByNode.put(node, "cordon"));
            previous.names(ConfigSchema.DISABLED_UPSTREAMS)
                    .keySet()
                    .forEach(node -> commandByNode.putIfAbsent(node, "uncordon"));
            for (FaultProxy balancer : tier.adminProxies()) {
                for (Map.Entry<String, String> command : commandByNode.entrySet()) {
                    post(balancer.address().getPort(), command.getValue(), command.getKey());
                }
            }
        }

        private void post(int port, String command, String node) throws InterruptedException {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/admin/" + command))
                    .timeout(TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofString(node))
                    .build();
            try {
                http.send(request, HttpResponse.BodyHandlers.discarding());
            } catch (IOException e) {
                counts.increment("not_told");
            }
        }
    }
}
