package sedgeyoke.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The replicated state machine: config versions, results of write requests, and the committed membership. Replicas that
 * have applied the same entries have the same state. The size of the state is bounded.
 */
public final class ConfigStateMachine {
    /** How many formerly active versions are kept. */
    static final int MAX_VERSIONS = 200;
    /** How many results are kept. A repeated write is recognized until this many later writes have a result. */
    static final int MAX_REQUESTS = 2_000;

    private final SafetyRules rules;
    private final Applier applier = new Applier();
    private final Deque<ConfigVersion> history = new ArrayDeque<>();
    private final Map<String, RequestResult> requests = new LinkedHashMap<>();
    private ConfigVersion active = ConfigVersion.NONE;
    private ConfigVersion pending;
    private Membership membership;

    /**
     * The complete state, for snapshots.
     *
     * @param active the active version
     * @param pending the version that is to be activated; null if there is none
     * @param history the versions that were active before, oldest first
     * @param requests the results of write requests by request id, oldest first
     */
    public record State(
            Membership membership,
            ConfigVersion active,
            ConfigVersion pending,
            List<ConfigVersion> history,
            Map<String, RequestResult> requests) {}

    /** The state before the first entry; {@code initialMembership} has no voters for a replica that is to join. */
    ConfigStateMachine(Membership initialMembership, SafetyRules rules) {
        this.rules = rules;
        this.membership = initialMembership;
    }

    /** Creates a state machine with the state of a snapshot. */
    ConfigStateMachine(State state, SafetyRules rules) {
        this.rules = rules;
        restore(state);
    }

    State snapshotState() {
        return new State(membership, active, pending, List.copyOf(history), new LinkedHashMap<>(requests));
    }

    /** Replaces the state by that of a snapshot. */
    void restore(State state) {
        membership = state.membership();
        active = state.active();
        pending = state.pending();
        history.clear();
        history.addAll(state.history());
        requests.clear();
        requests.putAll(state.requests());
    }

    ConfigVersion active() {
        return active;
    }

    /** The version that is to be activated; null if there is none. */
    ConfigVersion pending() {
        return pending;
    }

    /** The pending version if there is one, otherwise the active one. */
    ConfigVersion newest() {
        return pending == null ? active : pending;
    }

    /** The committed membership. */
    Membership membership() {
        return membership;
    }

    /** The versions that were active before, oldest first. */
    List<ConfigVersion> history() {
        return new ArrayList<>(history);
    }

    /** The recorded result of a write request; null if there is none. */
    RequestResult resultOf(String requestId) {
        return requests.get(requestId);
    }

    /** Applies a committed command; returns the result for the client that requested it, if one did. */
    RequestResult apply(Command command) {
        return command.accept(applier);
    }

    /** Applies each type of command. */
    private final class Applier implements CommandVisitor<RequestResult> {
        @Override
        public RequestResult visit(Command.NoOp noOp) {
            return done();
        }

        @Override
        public RequestResult visit(Command.ChangeMembership change) {
            membership = change.membership();
            return done();
        }

        @Override
        public RequestResult visit(Command.Write write) {
            return write(write);
        }

        @Override
        public RequestResult visit(Command.Activate activate) {
            activate(activate.version());
            return done();
        }

        private RequestResult done() {
            return new RequestResult(RequestResult.Kind.DONE, newest().number(), "");
        }
    }

    private void activate(long version) {
        if (pending == null || pending.number() != version) {
            return; // already activated: a new leader may repeat the command
        }
        history.add(active);
        if (history.size() > MAX_VERSIONS) {
            history.poll();
        }
        active = pending;
        pending = null;
    }

    private RequestResult write(Command.Write write) {
        RequestResult earlier = requests.get(write.requestId());
        if (!rules.isNewRequest(earlier)) {
            return earlier;
        }
        RequestResult result = rejection(write.parentVersion());
        if (result != null && result.kind() == RequestResult.Kind.BUSY) {
            return result; // not recorded, so that the client may retry with the same id
        }
        if (result == null) {
            pending = new ConfigVersion(
                    active.number() + 1,
                    active.number(),
                    write.author(),
                    write.reason(),
                    write.createdAtMillis(),
                    write.content());
            result = new RequestResult(RequestResult.Kind.DONE, pending.number(), "");
        }
        record(write.requestId(), result);
        return result;
    }

    private void record(String requestId, RequestResult result) {
        if (requests.size() >= MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
        requests.put(requestId, result);
    }

    /**
     * The result for a write that cannot be applied now because of its parent version; null if it can be. The content
     * is validated before the entry is appended, not here: replicas of different releases must apply entries alike.
     */
    RequestResult rejection(long parentVersion) {
        if (!rules.isBasedOnNewest(parentVersion, newest().number())) {
            return new RequestResult(
                    RequestResult.Kind.CONFLICT,
                    newest().number(),
                    "made from version " + parentVersion + ", the newest is " + newest().number());
        }
        return pending == null
                ? null
                : new RequestResult(
                        RequestResult.Kind.BUSY,
                        pending.number(),
                        "version " + pending.number() + " is still taking effect");
    }
}
