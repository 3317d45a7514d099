package sedgeyoke.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What the committed log says: versions and what became of requests. It is the same on every keeper that has applied
 * as much, and is bounded however long the log was.
 */
public final class ConfigStateMachine {
    /** Versions and requests that are remembered. A request is sure to be known again for so many later ones. */
    static final int MAX_VERSIONS = 200;

    static final int MAX_REQUESTS = 2_000;

    private final SafetyRules rules;
    private final Deque<ConfigVersion> history = new ArrayDeque<>();
    private final Map<String, RequestResult> requests = new LinkedHashMap<>();
    private ConfigVersion active = ConfigVersion.NONE;
    private ConfigVersion pending;
    private Membership members;

    /**
     * All of it, for a snapshot.
     *
     * @param history versions before the active one, oldest first
     * @param requests what became of requests, oldest first
     */
    public record State(
            Membership members,
            ConfigVersion active,
            ConfigVersion pending,
            List<ConfigVersion> history,
            Map<String, RequestResult> requests) {}

    /** Before anything; {@code members} as the tier was founded with, or none for one that is to join. */
    ConfigStateMachine(Membership members, SafetyRules rules) {
        this.rules = rules;
        this.members = members;
    }

    /** As a snapshot has it. */
    ConfigStateMachine(State state, SafetyRules rules) {
        this.rules = rules;
        restore(state);
    }

    State snapshotState() {
        return new State(members, active, pending, List.copyOf(history), new LinkedHashMap<>(requests));
    }

    /** As a snapshot that came from elsewhere has it. */
    void restore(State state) {
        members = state.members();
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

    /** The version that is to take effect, or null. */
    ConfigVersion pending() {
        return pending;
    }

    ConfigVersion newest() {
        return pending == null ? active : pending;
    }

    Membership members() {
        return members;
    }

    /** Versions that were in force before, oldest first. */
    List<ConfigVersion> history() {
        return new ArrayList<>(history);
    }

    /** What became of a request; null if nobody remembers. */
    RequestResult resultOf(String request) {
        return requests.get(request);
    }

    /** Applies a committed command; what became of it, for one that somebody waits for. */
    RequestResult apply(Command command) {
        if (command instanceof Command.ChangeMembership change) {
            members = change.membership();
        } else if (command instanceof Command.Activate activate) {
            if (pending != null && pending.number() == activate.version()) {
                history.add(active);
                if (history.size() > MAX_VERSIONS) {
                    history.poll();
                }
                active = pending;
                pending = null;
            }
        } else if (command instanceof Command.Write write) {
            return write(write);
        }
        return new RequestResult(RequestResult.Kind.DONE, newest().number(), "");
    }

    private RequestResult write(Command.Write w) {
        RequestResult before = requests.get(w.requestId());
        if (!rules.appliesRequest(before)) {
            return before;
        }
        RequestResult outcome = rejection(w.parentVersion());
        if (outcome != null && outcome.kind() == RequestResult.Kind.BUSY) {
            return outcome; // not remembered: it may come again
        }
        if (outcome == null) {
            pending = new ConfigVersion(
                    active.number() + 1, active.number(), w.author(), w.reason(), w.createdAtMillis(), w.content());
            outcome = new RequestResult(RequestResult.Kind.DONE, pending.number(), "");
        }
        if (requests.size() >= MAX_REQUESTS) {
            requests.remove(requests.keySet().iterator().next());
        }
        requests.put(w.requestId(), outcome);
        return outcome;
    }

    /**
     * Why a version cannot be made now from that parent; null if it can. What a document may hold is not looked at here
     * but before it is put into the log: keepers of two programs must apply an entry alike.
     */
    RequestResult rejection(long parent) {
        if (!rules.mayFollow(parent, newest().number())) {
            return new RequestResult(
                    RequestResult.Kind.CONFLICT,
                    newest().number(),
                    "made from version " + parent + ", the newest is " + newest().number());
        }
        return pending == null
                ? null
                : new RequestResult(
                        RequestResult.Kind.BUSY,
                        pending.number(),
                        "version " + pending.number() + " is still taking effect");
    }
}
