package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * Section {@code [config_server]}: a config server, started with {@code sedgeyoke config-server}.
 *
 * @param enabled whether the file configures a config server
 * @param tier the name of the tier; messages of other tiers are ignored
 * @param name the server's name, as in its certificate
 * @param listen the address to which config servers, balancers and operators connect
 * @param folder the folder for its data, which one process at a time locks
 * @param servers addresses of all config servers of the tier by name, including this one
 * @param leaseMs how long a balancer acts on a config version without renewing its lease, in milliseconds; must be the
 *     same in the whole tier
 * @param driftPpm how far a clock may run fast or slow, in parts per million
 * @param fsyncMayBeLost whether a restart of the machine may lose data for which fsync succeeded
 * @param maxSubscribers the most balancers that may be connected; further ones are rejected
 * @param tls its certificate, key and trusted issuers
 */
public record ConfigServerSettings(
        boolean enabled,
        String tier,
        String name,
        InetSocketAddress listen,
        Path folder,
        Map<String, InetSocketAddress> servers,
        long leaseMs,
        long driftPpm,
        boolean fsyncMayBeLost,
        int maxSubscribers,
        TlsFiles tls) {}
