package sedgeyoke.consensus.server;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sedgeyoke.consensus.RaftMessage;
import sedgeyoke.consensus.codec.RaftMessageCodec;
import sedgeyoke.transport.Backoff;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.PeerRole;
import sedgeyoke.transport.ReconnectingDialer;
import sedgeyoke.transport.proto.Frame;

/**
 * The outgoing connections to the other config servers. There is one for each server, so that Raft messages arrive in
 * the order in which they were sent. To be used on the event loop.
 */
final class PeerConnections {
    private static final long MIN_RECONNECT_MILLIS = 100;
    private static final long MAX_RECONNECT_MILLIS = 1_000;

    private final ServerContext context;
    private final Map<String, ReconnectingDialer<PeerConnection>> peers = new HashMap<>();

    PeerConnections(ServerContext context, MutualTls tls, SplittableRandom random) {
        this.context = context;
        String ownName = context.settings().name();
        for (Map.Entry<String, InetSocketAddress> server :
                context.settings().servers().entrySet()) {
            String name = server.getKey();
            if (!name.equals(ownName)) {
                Backoff backoff = new Backoff(MIN_RECONNECT_MILLIS, MAX_RECONNECT_MILLIS, random);
                peers.put(
                        name,
                        new ReconnectingDialer<>(
                                context.loop(), tls, server.getValue(), backoff, () -> new PeerConnection(name)));
            }
        }
    }

    /** Starts to connect to all other servers. */
    void start() {
        peers.values().forEach(ReconnectingDialer::start);
    }

    /** Sends a message to a server, or drops it if there is no connection to that server. */
    void send(String server, RaftMessage message) {
        ReconnectingDialer<PeerConnection> peer = peers.get(server);
        if (peer == null) {
            return;
        }
        peer.readyConnection()
                .ifPresent(connection -> connection.send(Frame.newBuilder()
                        .setRaft(RaftMessageCodec.encode(context.storageId(), message))
                        .build()));
    }

    void sendHeartbeats() {
        peers.values().forEach(peer -> peer.readyConnection()
                .ifPresent(connection -> connection.send(ServerContext.HEARTBEAT)));
    }

    private final class PeerConnection extends FramedConnection {
        private final String expectedName;

        PeerConnection(String expectedName) {
            super(Set.of(PeerRole.CONFIG_SERVER), context.settings().name(), context.log());
            this.expectedName = expectedName;
        }

        @Override
        protected void onReady() {
            if (!expectedName.equals(peerName())) {
                close("its name is " + peerName() + ", expected " + expectedName);
            }
        }

        @Override
        protected void onMessage(Frame frame) throws InvalidMessageException {
            if (frame.hasRaft()) {
                context.receive(peerName(), frame.getRaft());
            } else if (!frame.hasConfigChanged()) {
                close("unexpected message of a config server");
            }
        }
    }
}
