package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * Section {@code [keeper]}: a keeper, started with {@code sedgeyoke keep}.
 *
 * @param enabled whether this file is a keeper's
 * @param tier the name of the tier; keepers of another one are not listened to
 * @param name its name, as in its certificate
 * @param listen where keepers, balancers and operators connect
 * @param folder what it keeps; held by one process at a time
 * @param keepers where the keepers listen, by name, itself among them
 * @param leaseMs how long a balancer acts on a version without a new word, in milliseconds; the same in the whole tier
 * @param driftPpm how far a clock may run fast or slow, in parts per million
 * @param forcesMayLie whether what was forced may be gone once the machine has started anew
 * @param mostFollowers further connections of balancers are turned away
 * @param tls its files
 */
public record ConfigServerSettings(
        boolean enabled,
        String tier,
        String name,
        InetSocketAddress listen,
        Path folder,
        Map<String, InetSocketAddress> keepers,
        long leaseMs,
        long driftPpm,
        boolean forcesMayLie,
        int mostFollowers,
        TlsFiles tls) {}
