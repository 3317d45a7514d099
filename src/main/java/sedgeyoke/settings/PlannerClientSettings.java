package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [plans]}: a forwarder that applies plans of planners.
 *
 * @param enabled whether it does
 * @param planners where they listen; at most 16
 * @param reportEveryMs how often it reports to each, in milliseconds
 * @param leaseMs how long a slow-start quota is delegated, in milliseconds; the same in the whole tier
 * @param fadeMs over which time a plan loses effect once planners are silent, in milliseconds
 * @param driftPpm how far a clock may run fast or slow, in parts per million
 * @param tls its certificate, key and trusted issuers
 */
public record PlannerClientSettings(
        boolean enabled,
        List<InetSocketAddress> planners,
        long reportEveryMs,
        long leaseMs,
        long fadeMs,
        long driftPpm,
        TlsFiles tls) {}
