package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [agreed]}: a balancer that acts on what the keepers agree.
 *
 * @param enabled whether it does at all
 * @param keepers where they listen; at most 7
 * @param leaseMs as {@link ConfigServerSettings#leaseMs}
 * @param driftPpm as {@link ConfigServerSettings#driftPpm}
 * @param tls its files
 */
public record ConfigSubscriptionSettings(
        boolean enabled, List<InetSocketAddress> keepers, long leaseMs, long driftPpm, TlsFiles tls) {}
