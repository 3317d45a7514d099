package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [plans]}: a forwarder that applies plans of planners.
 *
 * @param enabled whether the forwarder uses planners
 * @param planners addresses of the planners; at most 16
 * @param reportEveryMs interval of the reports to each planner, in milliseconds
 * @param leaseMs how long a slow-start quota is delegated, in milliseconds; must be the same in the whole tier
 * @param fadeMs time over which a plan gradually loses its effect once no planner responds, in milliseconds
 * @param driftPpm how far a clock may run fast or slow, in parts per million
 * @param tls the forwarder's certificate, key and trusted issuers
 */
public record PlannerClientSettings(
        boolean enabled,
        List<InetSocketAddress> planners,
        long reportEveryMs,
        long leaseMs,
        long fadeMs,
        long driftPpm,
        TlsFiles tls) {}
