package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [config]}: a balancer that acts on the config of the config servers.
 *
 * @param enabled whether it does
 * @param servers where they listen; at most 7
 * @param leaseMs as {@link ConfigServerSettings#leaseMs}
 * @param driftPpm as {@link ConfigServerSettings#driftPpm}
 * @param tls its certificate, key and trusted issuers
 */
public record ConfigSubscriptionSettings(
        boolean enabled, List<InetSocketAddress> servers, long leaseMs, long driftPpm, TlsFiles tls) {}
