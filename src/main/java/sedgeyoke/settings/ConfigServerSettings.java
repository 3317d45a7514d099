package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * Section {@code [config_server]}: a config server, started with {@code sedgeyoke keep}.
 *
 * @param enabled whether this file is a config server's
 * @param tier the name of the tier; messages of other tiers are ignored
 * @param name its name, as in its certificate
 * @param listen where config servers, balancers and operators connect
 * @param folder where it stores its data; locked by one process at a time
 * @param servers where the config servers listen, by name, itself included
 * @param leaseMs how long a balancer acts on a config version without a renewal, in milliseconds; the same in the
 *     whole tier
 * @param driftPpm how far a clock may run fast or slow, in parts per million
 * @param fsyncMayBeLost whether data may be lost with a restart of the machine although fsync succeeded
 * @param maxSubscribers further connections of balancers are rejected
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
