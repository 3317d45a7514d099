package sedgeyoke.proxy.upstream;

import java.util.ArrayList;
import java.util.List;

/** Summarises the changes of an endpoint list for the log: the number and the first ids of each kind of change. */
public final class EndpointChanges {
    private static final int MAX_IDS = 6;

    private final Group ready = new Group("ready");
    private final Group notReady = new Group("draining");
    private final Group removed = new Group("removed");
    private final Group restarted = new Group("restarted");

    void ready(String id) {
        ready.add(id);
    }

    void notReady(String id) {
        notReady.add(id);
    }

    void removed(String id) {
        removed.add(id);
    }

    void restarted(String id) {
        restarted.add(id);
    }

    @Override
    public String toString() {
        List<String> groups = new ArrayList<>();
        for (Group group : List.of(ready, notReady, removed, restarted)) {
            if (group.count > 0) {
                groups.add(group.toString());
            }
        }
        return groups.isEmpty() ? "no change" : String.join(", ", groups);
    }

    /** The upstreams that have changed in one way. */
    private static final class Group {
        private final String name;
        private final List<String> firstIds = new ArrayList<>();
        private int count;

        Group(String name) {
            this.name = name;
        }

        void add(String id) {
            count++;
            if (firstIds.size() < MAX_IDS) {
                firstIds.add(id);
            }
        }

        @Override
        public String toString() {
            return count + " " + name + " (" + String.join(" ", firstIds) + (count > MAX_IDS ? " ..." : "") + ")";
        }
    }
}
