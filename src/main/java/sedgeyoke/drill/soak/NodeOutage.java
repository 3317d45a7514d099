package sedgeyoke.drill.soak;

import java.util.Optional;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/** Drains or removes a node for a while, which discovery announces; the node comes back cold. */
final class NodeOutage implements Fault {
    private static final long FURTHER_MILLIS = 2_000;

    private final FaultContext context;
    private final Site.Fault fault;
    private final long minMillis;

    private NodeOutage(FaultContext context, Site.Fault fault, long minMillis) {
        this.context = context;
        this.fault = fault;
        this.minMillis = minMillis;
    }

    /** Drains a node. */
    static NodeOutage drain(FaultContext context) {
        return new NodeOutage(context, Site.Fault.DRAIN, 2_000);
    }

    /** Removes a node. */
    static NodeOutage removal(FaultContext context) {
        return new NodeOutage(context, Site.Fault.REMOVE, 1_500);
    }

    @Override
    public void inject() {
        long millis = minMillis + context.random().nextLong(FURTHER_MILLIS);
        Optional<OrderNode> reserved = context.reserveNode();
        if (reserved.isEmpty()) {
            return;
        }
        OrderNode node = reserved.get();
        String id = node.spec().id();
        context.site().injectFault(id, fault);
        context.events().add(fault.toString(), id + " for " + millis + " ms");
        context.scheduler().schedule(millis, () -> {
            context.site().injectFault(id, Site.Fault.RESTART);
            context.events().add("UP", id + " again, cold");
        });
        context.scheduler().schedule(millis + NodeRestart.SLOW_START_MILLIS, () -> context.releaseNode(node));
    }
}
