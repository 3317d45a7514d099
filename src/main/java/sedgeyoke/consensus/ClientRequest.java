package sedgeyoke.consensus;

/** A request of a client. Clients may send it to any replica, which forwards it to the leader. */
public sealed interface ClientRequest {
    /** Calls the method of {@code handler} for this type of request. */
    void deliver(ClientRequestHandler handler);

    /** Creates a new config version; see {@link Command.Write}. */
    record Set(Command.Write write) implements ClientRequest {
        @Override
        public void deliver(ClientRequestHandler handler) {
            handler.handle(this);
        }
    }

    /** A linearizable read: its result states a version at least as new as any committed before the request. */
    record Read() implements ClientRequest {
        @Override
        public void deliver(ClientRequestHandler handler) {
            handler.handle(this);
        }
    }

    /** Adds a member as a learner; the leader makes it a voter once its log has caught up. */
    record AddMember(Member member) implements ClientRequest {
        @Override
        public void deliver(ClientRequestHandler handler) {
            handler.handle(this);
        }
    }

    /**
     * Removes a member.
     *
     * @param storageId storage id of the member, so that a delayed duplicate of the request does not remove a later
     *     member of the same name; 0 for any
     */
    record RemoveMember(String name, long storageId) implements ClientRequest {
        @Override
        public void deliver(ClientRequestHandler handler) {
            handler.handle(this);
        }
    }
}
