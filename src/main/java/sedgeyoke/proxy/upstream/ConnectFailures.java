package sedgeyoke.proxy.upstream;

import io.netty.channel.ChannelException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/**
 * Tells whether a connect failed because of this machine: no free port (EADDRNOTAVAIL), descriptor (ENFILE, EMFILE) or
 * buffer (ENOBUFS), or no network (ENETUNREACH). Such a failure says nothing about the upstream; counted against
 * upstreams, it would eject all of them, one after the other.
 */
final class ConnectFailures {
    private static final String RESET_MESSAGE = "Connection reset";

    private ConnectFailures() {}

    static boolean isLocal(Throwable cause) {
        if (cause instanceof BindException || cause instanceof ChannelException) {
            return true;
        }
        boolean causedByUpstream =
                cause instanceof ConnectException || cause instanceof NoRouteToHostException || isReset(cause);
        return cause instanceof SocketException && !causedByUpstream;
    }

    /**
     * ECONNRESET: the upstream accepted and reset the connection before the connect was seen to complete. The JDK has
     * no exception type for it.
     */
    private static boolean isReset(Throwable cause) {
        return cause.getMessage() != null && cause.getMessage().startsWith(RESET_MESSAGE);
    }
}
