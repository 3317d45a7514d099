package sedgeyoke.proxy.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** One upstream of the endpoint list with its idle connections, the one used last in front. */
final class UpstreamEndpoint {
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private SocketAddress address;
    private long launchTimeMicros;
    private boolean listedReady;
    private boolean ready;

    /** Takes over an entry of the endpoint list; {@link #updateReadiness} has to follow. */
    void update(SocketAddress newAddress, long newLaunchTimeMicros, boolean newListedReady) {
        if (!newAddress.equals(address) || newLaunchTimeMicros != launchTimeMicros) {
            // Connections to the process before, or to where it was: the next request on one would be reset.
            closeIdle();
        }
        address = newAddress;
        launchTimeMicros = newLaunchTimeMicros;
        listedReady = newListedReady;
    }

    /** When its process started, as discovery says. */
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

    /** Closes its idle connections and keeps none from now on: it has been removed from the list. */
    void retire() {
        ready = false;
        closeIdle();
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

    /** Since when the connection that has been idle for longest is idle; there must be one. */
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
     * Removes and returns the connection used last that has been idle for at least so long; null if there is none. Not
     * an {@code Optional}, as it is called for each attempt. One that was closed by its upstream is closed here, too.
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
