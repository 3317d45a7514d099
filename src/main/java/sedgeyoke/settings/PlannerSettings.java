package sedgeyoke.settings;

import java.net.InetSocketAddress;

/**
 * Section {@code [planner]}: a planner, started with {@code sedgeyoke plan}.
 *
 * @param enabled whether this file is a planner's
 * @param name its name, unlike that of any other planner of the tier
 * @param listen where forwarders connect
 * @param planEveryMs how often it plans, in milliseconds
 * @param leaseMs as {@link PlannerClientSettings#leaseMs}
 * @param driftPpm as {@link PlannerClientSettings#driftPpm}
 * @param mostForwarders further ones are rejected
 * @param mostUpstreams reports of further ones are ignored
 * @param tls its certificate, key and trusted issuers
 */
public record PlannerSettings(
        boolean enabled,
        String name,
        InetSocketAddress listen,
        long planEveryMs,
        long leaseMs,
        long driftPpm,
        int mostForwarders,
        int mostUpstreams,
        TlsFiles tls) {}
