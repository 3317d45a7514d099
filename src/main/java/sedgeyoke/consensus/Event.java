package sedgeyoke.consensus;

import java.util.List;

/** An input of a {@link RaftNode}. */
public sealed interface Event {
    /** Calls the method of {@code handler} for this type of event. */
    void deliver(EventHandler handler);

    /** Time has passed. The host has to deliver this several times in each heartbeat interval. */
    record Tick() implements Event {
        @Override
        public void deliver(EventHandler handler) {
            handler.handle(this);
        }
    }

    /**
     * A message has arrived.
     *
     * @param from the name in the certificate of the sending replica
     * @param storageId the storage id that the sender states with the message
     */
    record Received(String from, long storageId, RaftMessage message) implements Event {
        @Override
        public void deliver(EventHandler handler) {
            handler.handle(this);
        }
    }

    /** The {@link Action.Persist} with this token, and all before it, are on disk. */
    record Persisted(long token) implements Event {
        @Override
        public void deliver(EventHandler handler) {
            handler.handle(this);
        }
    }

    /** A client sent a request; {@link Action.Respond} with the same token carries its result. */
    record RequestReceived(long token, ClientRequest request) implements Event {
        @Override
        public void deliver(EventHandler handler) {
            handler.handle(this);
        }
    }

    /** Balancers that are connected to this replica request leases. */
    record LeasesRequested(List<LeaseRequest> requests) implements Event {
        @Override
        public void deliver(EventHandler handler) {
            handler.handle(this);
        }
    }

    /** The replica is about to shut down: if it leads, it transfers its leadership. */
    record TransferLeadership() implements Event {
        @Override
        public void deliver(EventHandler handler) {
            handler.handle(this);
        }
    }
}
