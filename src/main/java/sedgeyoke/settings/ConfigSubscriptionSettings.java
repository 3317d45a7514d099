package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [config]}: a balancer's subscription to the config of the config servers.
 *
 * @param enabled whether the balancer subscribes
 * @param servers addresses of the config servers; at most 7
 * @param leaseMs as {@link ConfigServerSettings#leaseMs}
 * @param driftPpm as {@link ConfigServerSettings#driftPpm}
 * @param tls the balancer's certificate, key and trusted issuers
 */
public record ConfigSubscriptionSettings(
        boolean enabled, List<InetSocketAddress> servers, long leaseMs, long driftPpm, TlsFiles tls) {}
