package sedgeyoke.drill.soak;

import java.util.Optional;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/** Makes a node stop responding without an announcement, then restarts it cold. */
final class NodeRestart implements Fault {
    /** How long a restarted node gets no further fault, so that balancers use it in slow start. */
    static final long SLOW_START_MILLIS = 2_000;

    private static final long MAX_UNRESPONSIVE_MILLIS = 600;

    private final FaultContext context;

    NodeRestart(FaultContext context) {
        this.context = context;
    }

    @Override
    public void inject() {
        Optional<OrderNode> reserved = context.reserveNode();
        if (reserved.isEmpty()) {
            return;
        }
        OrderNode node = reserved.get();
        String id = node.spec().id();
        long unresponsiveMillis = context.random().nextLong(MAX_UNRESPONSIVE_MILLIS);
        context.site().injectFault(id, Site.Fault.UNRESPONSIVE);
        context.events().add("RESTART", id + " after " + unresponsiveMillis + " ms of silence");
        context.scheduler().schedule(unresponsiveMillis, () -> context.site().injectFault(id, Site.Fault.RESTART));
        context.scheduler().schedule(unresponsiveMillis + SLOW_START_MILLIS, () -> context.releaseNode(node));
    }
}
