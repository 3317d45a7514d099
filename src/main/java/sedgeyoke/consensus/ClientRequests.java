package sedgeyoke.consensus;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Handles client requests from arrival to result. A follower forwards them to the leader. The leader responds to reads,
 * and to writes that need no log entry, once it has confirmed its leadership, and to other requests once their entry is
 * committed (Raft thesis, chapter 6).
 */
final class ClientRequests {
    private static final int MAX_PENDING = 1_000;
    private static final long FORWARD_TIMEOUT_MICROS = 3_000_000;
    private static final String TOO_MANY_REQUESTS = "too many requests wait";

    private final ReplicaState state;
    private final Outbox outbox;
    private final LogReplication replication;
    private final LeadershipConfirmation confirmation;
    private final MembershipChange membershipChange;
    private final ConfigLeases leases;

    /** Origins of the requests whose entry is not committed yet, by the index of the entry. */
    private final Map<Long, Origin> proposed = new TreeMap<>();
    /** Deadlines for the leader's responses to forwarded requests, by token. */
    private final Map<Long, Long> forwarded = new TreeMap<>();

    /**
     * Where a request came from.
     *
     * @param term the term in which it arrived
     * @param replica the replica that forwarded it; null if the client sent it to this replica
     * @param token identifies it at the replica that the client sent it to
     */
    private record Origin(long term, String replica, long token) {}

    ClientRequests(
            ReplicaState state,
            Outbox outbox,
            LogReplication replication,
            LeadershipConfirmation confirmation,
            MembershipChange membershipChange,
            ConfigLeases leases) {
        this.state = state;
        this.outbox = outbox;
        this.replication = replication;
        this.confirmation = confirmation;
        this.membershipChange = membershipChange;
        this.leases = leases;
    }

    /** Handles a request that a client sent to this replica. */
    void receive(long token, ClientRequest request) {
        if (state.isLeader()) {
            process(new Origin(state.term, null, token), request);
        } else if (state.leader == null) {
            outbox.respond(token, state.result(RequestResult.Kind.NO_LEADER, "no leader is known"));
        } else if (forwarded.size() >= MAX_PENDING) {
            outbox.respond(token, state.result(RequestResult.Kind.BUSY, TOO_MANY_REQUESTS));
        } else {
            forwarded.put(token, state.nowMicros + FORWARD_TIMEOUT_MICROS);
            outbox.send(state.leader, new RaftMessage.ForwardedRequest(state.term, token, request));
        }
    }

    void handle(String from, RaftMessage.ForwardedRequest message) {
        Origin origin = new Origin(state.term, from, message.token());
        if (state.isLeader()) {
            process(origin, message.request());
        } else {
            respond(origin, RequestResult.Kind.NO_LEADER, "does not lead");
        }
    }

    void handle(RaftMessage.ForwardedResponse message) {
        if (forwarded.remove(message.token()) != null) {
            outbox.respond(message.token(), message.result());
        }
    }

    /** Fails forwarded requests whose response is overdue. The leader may still carry them out. */
    void expireForwarded() {
        forwarded.entrySet().removeIf(request -> {
            boolean expired = state.nowMicros >= request.getValue();
            if (expired) {
                outbox.respond(
                        request.getKey(), state.result(RequestResult.Kind.UNKNOWN, "the leader has not responded"));
            }
            return expired;
        });
    }

    /** Called when an entry has been applied: sends the result to the client that requested it, if there is one. */
    void applied(LogEntry entry, RequestResult result) {
        Origin origin = proposed.remove(entry.index());
        if (origin == null) {
            return;
        }
        if (origin.term() == entry.term()) {
            respond(origin, result);
        } else {
            respond(origin, RequestResult.Kind.UNKNOWN, "another entry has replaced it");
        }
    }

    /** Called when this replica ceases to be the leader. The entries that it proposed may or may not be committed. */
    void stop() {
        proposed.values().forEach(origin -> respond(origin, RequestResult.Kind.UNKNOWN, "the leader has changed"));
        proposed.clear();
    }

    private void respond(Origin origin, RequestResult.Kind kind, String detail) {
        respond(origin, state.result(kind, detail));
    }

    private void respond(Origin origin, RequestResult result) {
        if (origin.replica() == null) {
            outbox.respond(origin.token(), result);
        } else {
            outbox.send(origin.replica(), new RaftMessage.ForwardedResponse(state.term, origin.token(), result));
        }
    }

    // ---- On the leader --------------------------------------------------------------------------------

    private void process(Origin origin, ClientRequest request) {
        if (!replication.hasCommittedInTerm()) {
            respond(origin, RequestResult.Kind.NO_LEADER, "the leader has committed nothing in its term yet");
        } else if (proposed.size() + confirmation.pendingCount() >= MAX_PENDING) {
            respond(origin, RequestResult.Kind.BUSY, TOO_MANY_REQUESTS);
        } else {
            request.deliver(new LeaderHandler(origin));
        }
    }

    /** Carries out one request as the leader, and responds to its origin. */
    private final class LeaderHandler implements ClientRequestHandler {
        private final Origin origin;

        LeaderHandler(Origin origin) {
            this.origin = origin;
        }

        @Override
        public void handle(ClientRequest.Read request) {
            read(origin);
        }

        @Override
        public void handle(ClientRequest.Set request) {
            write(origin, request.write());
        }

        @Override
        public void handle(ClientRequest.AddMember request) {
            addMember(origin, request);
        }

        @Override
        public void handle(ClientRequest.RemoveMember request) {
            removeMember(origin, request);
        }
    }

    private void read(Origin origin) {
        confirmation.whenConfirmed(
                () -> respond(origin, RequestResult.Kind.DONE, ""),
                () -> respond(origin, RequestResult.Kind.NO_LEADER, "the leader has changed"));
    }

    private void write(Origin origin, Command.Write write) {
        RequestResult known = resultWithoutEntry(write);
        if (known == null) {
            proposed.put(replication.append(write), origin);
            return;
        }
        // the result depends on the committed state, and only a confirmed leader knows that its state is up to date
        confirmation.whenConfirmed(
                () -> respond(origin, known),
                () -> respond(origin, RequestResult.Kind.UNKNOWN, "the leader has changed"));
    }

    /** The result of a write that is repeated, conflicting or invalid and so needs no entry; null for other writes. */
    private RequestResult resultWithoutEntry(Command.Write write) {
        RequestResult earlier = state.stateMachine.resultOf(write.requestId());
        if (earlier != null) {
            return earlier;
        }
        RequestResult rejection = state.stateMachine.rejection(write.parentVersion());
        if (rejection != null) {
            return rejection;
        }
        RequestResult invalid = rejectionOfContent(write.content());
        return invalid == null ? rejectionOfSchema(write.content()) : invalid;
    }

    private RequestResult rejectionOfContent(ConfigDocument content) {
        List<String> violations =
                ConfigValidator.violations(state.stateMachine.active().content(), content);
        return violations.isEmpty() ? null : resultForActive(RequestResult.Kind.REFUSED, String.join("; ", violations));
    }

    /** Rejects fields that a balancer with a lease does not support: it would ignore that part of the version. */
    private RequestResult rejectionOfSchema(ConfigDocument content) {
        int required = ConfigSchema.requiredVersion(content);
        int supported = leases.oldestSchemaVersion();
        return required <= supported
                ? null
                : resultForActive(
                        RequestResult.Kind.BUSY,
                        "a balancer supports the schema up to version " + supported + ", version " + required
                                + " is required");
    }

    /** A result with the number of the active version, which the client has to base its next write on. */
    private RequestResult resultForActive(RequestResult.Kind kind, String detail) {
        return new RequestResult(kind, state.stateMachine.active().number(), detail);
    }

    private void addMember(Origin origin, ClientRequest.AddMember request) {
        String rejection = membershipChange.rejection(request);
        if (rejection == null) {
            proposed.put(membershipChange.add(request.member()), origin);
        } else {
            respond(origin, RequestResult.Kind.REFUSED, rejection);
        }
    }

    private void removeMember(Origin origin, ClientRequest.RemoveMember request) {
        String rejection = membershipChange.rejection(request);
        if (rejection == null) {
            proposed.put(membershipChange.remove(request.name()), origin);
        } else {
            respond(origin, RequestResult.Kind.REFUSED, rejection);
        }
    }

    /** The indices of the entries that clients wait for; for {@link RaftNode#describe()}. */
    String describe() {
        return proposed.keySet().toString();
    }
}
