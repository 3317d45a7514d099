package sedgeyoke.proxy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import sedgeyoke.drill.ProgramProcess;

/** A discovery that lists some upstreams and never changes, for balancers in processes of their own. */
final class ListedUpstreams implements AutoCloseable {
    private static final int SOCKETS = 1_024;

    private final String list;
    private final ScriptedServer discovery;

    /** Lists these entries, as {@link Loopback#member} writes them. */
    ListedUpstreams(String... members) throws IOException {
        list = Loopback.list(1, true, members);
        discovery = new ScriptedServer((request, socket) -> {
            if (!request.line().contains("from=")) { // otherwise no changes: the watch waits until it is closed
                ScriptedServer.reply(socket, 200, list);
            }
        });
    }

    /** Starts a balancer with an admin endpoint; does not wait until it listens. */
    BalancerProcess start(Path folder) throws IOException {
        return startWith(List.of(), folder);
    }

    /** Starts a balancer as the method above does, with options of the JVM. */
    BalancerProcess startWith(List<String> jvmOptions, Path folder) throws IOException {
        String addresses = discovery.address() + "\",\"ops\":\"127.0.0.1:0";
        byte[] config = Loopback.configText(Loopback.SETTINGS, addresses, SOCKETS, list);
        return BalancerProcess.startWith(jvmOptions, folder, ProgramProcess.freePort(), config);
    }

    @Override
    public void close() {
        discovery.close();
    }
}
