package sedgeyoke.drill;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Stream;
import sedgeyoke.settings.TlsFiles;
import sedgeyoke.standin.FaultProxy;
import sedgeyoke.standin.Site;

/** The config servers and balancers of a consensus drill, with a fault proxy on each connection between them. */
final class ConsensusTier implements AutoCloseable {
    /** Each zone's share of the traffic. */
    static final double[] ZONE_SHARES = {0.34, 0.33, 0.33};

    static final long LEASE_MS = 2_000;
    private static final int DISCOVERY_DELAY_MS = 300;

    private final Site site;
    private final TierProcesses processes;
    private final List<Integer> ports = new ArrayList<>();
    private final List<ProgramProcess> configServers = new ArrayList<>();
    private final List<ProgramProcess> balancers = new ArrayList<>();
    /** Indexed by the connecting server, then the one it connects to; null where both are the same. */
    private final FaultProxy[][] peerProxies;
    /** Indexed by balancer, then config server. */
    private final FaultProxy[][] balancerProxies;
    /** The proxy in front of each balancer's admin endpoint. */
    private final FaultProxy[] adminProxies;

    /** Starts all processes and returns once they listen. */
    ConsensusTier(Site site, Path folder, ConsensusDrill.Options options) throws IOException, InterruptedException {
        this.site = site;
        int servers = options.configServers();
        this.peerProxies = new FaultProxy[servers][servers];
        this.balancerProxies = new FaultProxy[options.balancers()][servers];
        this.adminProxies = new FaultProxy[options.balancers()];
        this.processes = new TierProcesses(folder, options.program());
        for (int i = 0; i < servers; i++) {
            ports.add(ProgramProcess.freePort());
        }
        for (int i = 0; i < servers; i++) {
            startConfigServer(i);
        }
        for (int i = 0; i < options.balancers(); i++) {
            startBalancer(i, options);
        }
        for (int i = 0; i < options.balancers(); i++) {
            site.balancer(
                    balancerName(i), zone(i), Loopback.address(balancers.get(i).port()));
        }
        for (ProgramProcess server : configServers) {
            server.port(); // waits until it listens
        }
    }

    private void startConfigServer(int index) throws IOException {
        Map<String, Integer> peers = new LinkedHashMap<>();
        for (int peer = 0; peer < ports.size(); peer++) {
            if (peer == index) {
                peers.put(configServerName(peer), ports.get(peer));
            } else {
                peerProxies[index][peer] = proxyTo(ports.get(peer));
                peers.put(
                        configServerName(peer),
                        peerProxies[index][peer].address().getPort());
            }
        }
        ProgramProcess server = processes.configServer(configServerName(index), ports.get(index), peers, LEASE_MS);
        configServers.add(server);
        server.start();
    }

    private void startBalancer(int index, ConsensusDrill.Options options) throws IOException {
        List<Integer> serverPorts = new ArrayList<>();
        for (int server = 0; server < ports.size(); server++) {
            balancerProxies[index][server] = proxyTo(ports.get(server));
            serverPorts.add(balancerProxies[index][server].address().getPort());
        }
        int adminPort = ProgramProcess.freePort();
        adminProxies[index] = proxyTo(adminPort);
        String name = balancerName(index);
        String configuration = TierProcesses.configuration(
                site, name, zone(index), index, options.balancers(), DISCOVERY_DELAY_MS, options.seed() * 31 + index);
        ProgramProcess balancer = processes.configFollower(
                name,
                configuration,
                options.mode() == ConsensusDrill.Mode.WITHOUT ? List.of() : serverPorts,
                LEASE_MS,
                adminPort);
        balancers.add(balancer);
        balancer.start();
    }

    private FaultProxy proxyTo(int port) {
        return new FaultProxy(site.loop(), 0, Loopback.address(port));
    }

    private static String configServerName(int index) {
        return "k" + index;
    }

    private static String balancerName(int index) {
        return "b" + index;
    }

    /** The index of a balancer by its name. */
    static int balancerIndex(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private static int zone(int balancer) {
        return balancer % ZONE_SHARES.length;
    }

    /** Issues a certificate for an operator of the config servers. */
    TlsFiles operatorFiles(String name) throws IOException {
        return processes.issueOperator(name);
    }

    /** The addresses of the config servers themselves, without proxies. */
    List<InetSocketAddress> configServerAddresses() {
        return ports.stream().map(Loopback::address).toList();
    }

    ProgramProcess configServer(int index) {
        return configServers.get(index);
    }

    Path configServerFolder(int index) {
        return processes.configServerFolder(configServerName(index));
    }

    int configServerCount() {
        return configServers.size();
    }

    int balancerCount() {
        return balancers.size();
    }

    /** The proxies on the connections from a config server to the others. */
    List<FaultProxy> proxiesFrom(int server) {
        return Stream.of(peerProxies[server]).filter(Objects::nonNull).toList();
    }

    /** The proxies on the connections from the other config servers to this one. */
    List<FaultProxy> proxiesTo(int server) {
        return Stream.of(peerProxies)
                .map(row -> row[server])
                .filter(Objects::nonNull)
                .toList();
    }

    /** The proxies on the connections from a balancer to the config servers. */
    List<FaultProxy> proxiesOfBalancer(int balancer) {
        return List.of(balancerProxies[balancer]);
    }

    /** The proxy in front of a balancer's admin endpoint. */
    FaultProxy adminProxy(int balancer) {
        return adminProxies[balancer];
    }

    /** The proxies in front of the admin endpoints of all balancers. */
    List<FaultProxy> adminProxies() {
        return List.of(adminProxies);
    }

    /** Ends the faults of all proxies. */
    void clearFaults() {
        Stream<FaultProxy> betweenProcesses = Stream.of(peerProxies, balancerProxies)
                .flatMap(Stream::of)
                .flatMap(Stream::of)
                .filter(Objects::nonNull);
        Stream.concat(Stream.of(adminProxies), betweenProcesses).forEach(proxy -> {
            proxy.stall(false, false);
            proxy.cut(false);
        });
    }

    @Override
    public void close() {
        configServers.forEach(ProgramProcess::close);
        balancers.forEach(ProgramProcess::close);
    }
}
