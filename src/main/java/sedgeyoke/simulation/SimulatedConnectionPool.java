package sedgeyoke.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** A forwarder's idle connections, by address; the most recently used one is reused first. */
final class SimulatedConnectionPool {
    private final EventQueue events;
    private final long idleTimeoutMicros;
    private final Map<Integer, Deque<IdleConnection>> idleByAddress = new HashMap<>();

    private record IdleConnection(SimulatedConnection connection, long sinceMicros) {}

    SimulatedConnectionPool(EventQueue events, long idleTimeoutMicros) {
        this.events = events;
        this.idleTimeoutMicros = idleTimeoutMicros;
    }

    void release(int address, SimulatedConnection connection) {
        idleByAddress
                .computeIfAbsent(address, key -> new ArrayDeque<>())
                .add(new IdleConnection(connection, events.now()));
    }

    /** Takes an open connection, or returns null if there is none; closes those that exceed the idle timeout. */
    SimulatedConnection acquire(int address) {
        Deque<IdleConnection> idle = idleByAddress.get(address);
        if (idle == null) {
            return null;
        }
        while (!idle.isEmpty() && events.now() - idle.peekFirst().sinceMicros() > idleTimeoutMicros) {
            idle.pollFirst().connection().close();
        }
        while (!idle.isEmpty()) {
            SimulatedConnection connection = idle.pollLast().connection();
            if (connection.isOpen()) {
                return connection;
            }
        }
        return null;
    }

    void closeIdle(int address) {
        Deque<IdleConnection> idle = idleByAddress.remove(address);
        if (idle != null) {
            idle.forEach(connection -> connection.connection().close());
        }
    }

    void closeAll() {
        idleByAddress
                .values()
                .forEach(idle -> idle.forEach(each -> each.connection().close()));
        idleByAddress.clear();
    }
}
