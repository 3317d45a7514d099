package sedgeyoke.proxy.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** One upstream of the endpoint list with its idle connections, the most recently used one first. */
final class UpstreamEndpoint {
    /** By then discovery has told that another process has the address (STANDING, "The whole fleet"). */
    private static final long MAX_NOTIFICATION_MICROS = 6_000_000;

    private static final long NEVER = -MAX_NOTIFICATION_MICROS;

    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private SocketAddress address;
    private long launchTimeMicros;
    private boolean listedReady;
    private boolean ready;
    /** When a connection broke last, or was refused, since the entry of the endpoint list has changed. */
    private long brokenMicros = NEVER;

    /** Applies an entry of the endpoint list; {@link #updateReadiness} must be called after it. */
    void update(SocketAddress newAddress, long newLaunchTimeMicros, boolean newListedReady) {
        if (!newAddress.equals(address) || newLaunchTimeMicros != launchTimeMicros) {
            // They lead to the previous process or address: the next request on one would be reset.
            closeIdle();
            brokenMicros = NEVER;
        }
        address = newAddress;
        launchTimeMicros = newLaunchTimeMicros;
        listedReady = newListedReady;
    }

    /** When the process of the upstream started, according to discovery. */
    long launchTimeMicros() {
        return launchTimeMicros;
    }

    /** Makes the upstream usable if it is listed as ready and not cordoned; otherwise closes its idle connections. */
    void updateReadiness(boolean cordoned) {
        ready = listedReady && !cordoned;
        if (!ready) {
            closeIdle();
        }
    }

    /** Closes the idle connections and keeps none from now on, as the upstream was removed from the endpoint list. */
    void retire() {
        ready = false;
        closeIdle();
    }

    /** Records that a connection broke or was refused: the process may have ended, and another one have its address. */
    void recordBreak(long nowMicros) {
        brokenMicros = nowMicros;
    }

    /** Whether a connection that is made now reaches the process that the endpoint list means. */
    boolean isProcessKnown(long nowMicros) {
        return nowMicros - brokenMicros >= MAX_NOTIFICATION_MICROS;
    }

    SocketAddress address() {
        return address;
    }

    boolean isReady() {
        return ready;
    }

    // ---- Idle connections ----------------------------------------------------------------------------

    void addIdle(UpstreamConnection connection) {
        idle.push(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        idle.remove(connection);
    }

    boolean hasIdle() {
        return !idle.isEmpty();
    }

    /** The time since which the longest idle connection has been idle; there must be one. */
    long oldestIdleSinceMicros() {
        return idle.peekLast().idleSinceMicros();
    }

    void closeOldestIdle() {
        idle.pollLast().close();
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.poll().close();
        }
    }

    void closeIdleLongerThan(long maxIdleMicros, long nowMicros) {
        while (!idle.isEmpty() && nowMicros - oldestIdleSinceMicros() > maxIdleMicros) {
            closeOldestIdle();
        }
    }

    /**
     * Removes and returns the most recently used connection that has been idle for at least {@code minIdleMicros}; null
     * if there is none. Closes connections that it finds not reusable. Not an {@code Optional}, to allocate nothing for
     * each attempt.
     */
    UpstreamConnection takeIdle(long minIdleMicros, long nowMicros) {
        for (Iterator<UpstreamConnection> connections = idle.iterator(); connections.hasNext(); ) {
            UpstreamConnection connection = connections.next();
            if (nowMicros - connection.idleSinceMicros() >= minIdleMicros) {
                connections.remove();
                if (connection.isReusable()) {
                    return connection;
                }
                connection.close();
            }
        }
        return null;
    }
}
