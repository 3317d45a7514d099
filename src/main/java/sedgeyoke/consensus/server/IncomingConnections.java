package sedgeyoke.consensus.server;

import io.netty.channel.Channel;
import java.util.HashSet;
import java.util.Set;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.MutualTls;
import sedgeyoke.transport.PeerRole;
import sedgeyoke.transport.proto.Frame;

/**
 * Accepts connections of config servers, balancers and operators, and dispatches their messages by the role in the
 * peer's certificate. To be used on the event loop.
 */
final class IncomingConnections {
    /** Connections allowed in addition to those of the configured peers: for operators and for peers that reconnect. */
    private static final int SPARE_CONNECTIONS = 32;

    private final ServerContext context;
    private final MutualTls tls;
    private final BalancerSubscriptions subscriptions;
    private final OperatorRequests operatorRequests;
    private final Set<IncomingConnection> connections = new HashSet<>();

    IncomingConnections(
            ServerContext context,
            MutualTls tls,
            BalancerSubscriptions subscriptions,
            OperatorRequests operatorRequests) {
        this.context = context;
        this.tls = tls;
        this.subscriptions = subscriptions;
        this.operatorRequests = operatorRequests;
    }

    /** Handles a new channel, or closes it if there are too many. */
    void accept(Channel channel) {
        int limit = context.settings().maxSubscribers()
                + context.settings().servers().size()
                + SPARE_CONNECTIONS;
        if (connections.size() >= limit) {
            channel.close();
            return;
        }
        IncomingConnection connection = new IncomingConnection();
        connections.add(connection);
        channel.closeFuture().addListener(closed -> connections.remove(connection));
        connection.attach(channel, tls.newHandler(channel));
    }

    /** Sends a heartbeat to each connected config server. */
    void sendHeartbeats() {
        for (IncomingConnection connection : connections) {
            if (connection.isReady() && connection.peerRole() == PeerRole.CONFIG_SERVER) {
                connection.send(ServerContext.HEARTBEAT);
            }
        }
    }

    private final class IncomingConnection extends FramedConnection {
        IncomingConnection() {
            super(
                    Set.of(PeerRole.CONFIG_SERVER, PeerRole.FORWARDER, PeerRole.OPERATOR),
                    context.settings().name(),
                    context.log());
        }

        @Override
        protected void onReady() {
            if (peerRole() == PeerRole.FORWARDER) {
                subscriptions.add(this);
            }
        }

        @Override
        protected void onMessage(Frame frame) throws InvalidMessageException {
            boolean expected =
                    switch (peerRole()) {
                        case CONFIG_SERVER -> handleServer(frame);
                        case FORWARDER -> handleBalancer(frame);
                        case OPERATOR -> handleOperator(frame);
                        case PLANNER -> false;
                    };
            if (!expected) {
                close("unexpected message of a " + peerRole().organizationalUnit());
            }
        }

        private boolean handleServer(Frame frame) throws InvalidMessageException {
            if (frame.hasRaft()) {
                context.receive(peerName(), frame.getRaft());
                return true;
            }
            return frame.hasConfigChanged(); // a heartbeat
        }

        private boolean handleBalancer(Frame frame) {
            if (!frame.hasLeaseRequest()) {
                return false;
            }
            subscriptions.requestLease(this, frame.getLeaseRequest());
            return true;
        }

        private boolean handleOperator(Frame frame) throws InvalidMessageException {
            if (!frame.hasOperatorRequest()) {
                return false;
            }
            operatorRequests.handle(this, frame.getOperatorRequest());
            return true;
        }

        @Override
        protected void onClosed() {
            if (isReady()) {
                subscriptions.remove(this);
            }
        }
    }
}
