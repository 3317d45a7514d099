package sedgeyoke.settings;

import java.net.InetSocketAddress;

/**
 * Section {@code [planner]}: a planner, started with {@code sedgeyoke plan}.
 *
 * @param enabled whether the file configures a planner
 * @param name the planner's name, unique in the tier
 * @param listen the address to which forwarders connect
 * @param planEveryMs interval between plans, in milliseconds
 * @param leaseMs as {@link PlannerClientSettings#leaseMs}
 * @param driftPpm as {@link PlannerClientSettings#driftPpm}
 * @param mostForwarders the most forwarders that may be connected; further ones are rejected
 * @param mostUpstreams the most upstreams that are planned for; reports on further ones are ignored
 * @param tls the planner's certificate, key and trusted issuers
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
