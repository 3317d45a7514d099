package sedgeyoke.consensus;

import java.util.ArrayList;
import java.util.List;

/** Collects the actions that result from one event, in order. */
final class Outbox {
    private List<Action> actions = new ArrayList<>();

    void add(Action action) {
        actions.add(action);
    }

    void addAll(List<? extends Action> more) {
        actions.addAll(more);
    }

    /** Sends a message without waiting for writes to disk; it must not acknowledge anything that is not on disk. */
    void send(String to, RaftMessage message) {
        actions.add(new Action.Send(to, message));
    }

    void respond(long token, RequestResult result) {
        actions.add(new Action.Respond(token, result));
    }

    void log(String line) {
        actions.add(new Action.Log(line));
    }

    /** Returns the collected actions, and clears them here. */
    List<Action> take() {
        List<Action> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }
}
