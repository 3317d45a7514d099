package sedgeyoke.consensus.server;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.LeaseRequest;
import sedgeyoke.consensus.LeaseResponse;
import sedgeyoke.consensus.RaftNode;
import sedgeyoke.consensus.codec.ClientCodec;
import sedgeyoke.consensus.codec.ConfigCodec;
import sedgeyoke.transport.FramedConnection;
import sedgeyoke.transport.proto.ConfigChangedMessage;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.LeaseReplyMessage;
import sedgeyoke.transport.proto.LeaseRequestMessage;

/**
 * The balancers that are connected to this server. Batches their lease requests for the Raft node, sends them lease
 * responses with the config versions that they lack, and notifies them of new versions. To be used on the event loop.
 */
final class BalancerSubscriptions {
    private final ServerContext context;
    private final RaftNode node;
    private final Map<String, Subscription> subscriptions = new HashMap<>();
    private final Map<String, LeaseRequest> queuedRequests = new LinkedHashMap<>();

    /** One balancer's connection, and the newest version that it held when it last requested a lease. */
    private static final class Subscription {
        final FramedConnection connection;
        long heldVersion;

        Subscription(FramedConnection connection) {
            this.connection = connection;
        }
    }

    BalancerSubscriptions(ServerContext context, RaftNode node) {
        this.context = context;
        this.node = node;
    }

    /** Adds a balancer; closes its previous connection, if there is one. */
    void add(FramedConnection connection) {
        Subscription previous = subscriptions.put(connection.peerName(), new Subscription(connection));
        if (previous != null) {
            previous.connection.close("replaced by a newer connection");
        }
    }

    /** Removes a balancer unless it has reconnected. */
    void remove(FramedConnection connection) {
        Subscription subscription = subscriptions.get(connection.peerName());
        if (subscription != null && subscription.connection == connection) {
            subscriptions.remove(connection.peerName());
        }
    }

    /** Returns the number of connected balancers. */
    int count() {
        return subscriptions.size();
    }

    /** Queues a lease request for the next batch. It replaces an earlier one of the same balancer. */
    void requestLease(FramedConnection connection, LeaseRequestMessage message) {
        LeaseRequest request = ClientCodec.decode(message);
        String balancer = connection.peerName();
        if (!request.balancer().equals(balancer)) {
            connection.close("requests a lease for " + request.balancer());
            return;
        }
        queuedRequests.remove(balancer); // keeps the batch in order of arrival
        queuedRequests.put(balancer, request);
        Subscription subscription = subscriptions.get(balancer);
        if (subscription != null && subscription.connection == connection) {
            subscription.heldVersion = request.heldVersion();
        }
    }

    /** Passes the queued lease requests to the Raft node as one event. */
    void submitLeaseRequests() {
        if (!queuedRequests.isEmpty()) {
            List<LeaseRequest> batch = List.copyOf(queuedRequests.values());
            queuedRequests.clear();
            context.events().accept(new Event.LeasesRequested(batch));
        }
    }

    /** Sends a lease response to its balancer, or drops it if this server does not have a version that it names. */
    void send(LeaseResponse response) {
        Subscription subscription = subscriptions.get(response.balancer());
        if (subscription == null) {
            return;
        }
        Optional<ConfigVersion> active = version(response.activeVersion());
        Optional<ConfigVersion> pending = version(response.pendingVersion());
        boolean hasPending = response.pendingVersion() != 0;
        if (active.isEmpty() || (hasPending && pending.isEmpty())) {
            return; // the balancer will request the lease again
        }
        LeaseReplyMessage.Builder reply = LeaseReplyMessage.newBuilder().setResponse(ClientCodec.encode(response));
        long newestVersion = Math.max(response.activeVersion(), response.pendingVersion());
        if (subscription.heldVersion < newestVersion) {
            reply.setActive(ConfigCodec.encode(active.get()));
            if (hasPending) {
                reply.setPending(ConfigCodec.encode(pending.get()));
            }
        }
        subscription.connection.send(Frame.newBuilder().setLeaseReply(reply).build());
    }

    private Optional<ConfigVersion> version(long number) {
        return Stream.concat(Stream.of(node.active(), node.pending()), node.history().stream())
                .filter(version -> version != null && version.number() == number)
                .findFirst();
    }

    /** Notifies all balancers of the newest version. Those that lack it request a lease, whose response brings it. */
    void notifyConfigChanged(long newestVersion) {
        Frame notification = Frame.newBuilder()
                .setConfigChanged(ConfigChangedMessage.newBuilder().setNewestVersion(newestVersion))
                .build();
        subscriptions.values().forEach(subscription -> subscription.connection.send(notification));
    }
}
