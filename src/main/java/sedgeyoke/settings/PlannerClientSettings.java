package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [plans]}: a forwarder that listens to planners.
 *
 * @param enabled whether it does at all
 * @param planners where they listen; at most 16
 * @param reportEveryMs how often it reports to each, in milliseconds
 * @param leaseMs how long a right to send to a cold upstream is lent, in milliseconds; the same in the whole tier
 * @param fadeMs over which time a plan fades out once planners are quiet, in milliseconds
 * @param driftPpm how far a clock may run fast or slow, in parts per million
 * @param tls its files
 */
public record PlannerClientSettings(
        boolean enabled,
        List<InetSocketAddress> planners,
        long reportEveryMs,
        long leaseMs,
        long fadeMs,
        long driftPpm,
        TlsFiles tls) {}
