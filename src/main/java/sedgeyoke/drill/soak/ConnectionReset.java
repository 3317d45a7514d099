package sedgeyoke.drill.soak;

import java.util.List;
import sedgeyoke.standin.OrderNode;
import sedgeyoke.standin.Site;

/** Makes a node reset all of its connections; the node continues to serve, so there is nothing to undo. */
final class ConnectionReset implements Fault {
    private final FaultContext context;

    ConnectionReset(FaultContext context) {
        this.context = context;
    }

    @Override
    public void inject() {
        List<OrderNode> nodes = context.site().nodes();
        String id = nodes.get(context.random().nextInt(nodes.size())).spec().id();
        context.events().add("RESET", id);
        context.site().injectFault(id, Site.Fault.RESET_CONNECTIONS);
    }
}
