package sedgeyoke.consensus.server;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import sedgeyoke.consensus.Action;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.storage.ReplicaStorage;
import sedgeyoke.store.DiskException;

/**
 * Writes to the storage on a separate thread, so that a stalled disk does not block the event loop. Writes are done in
 * order. After one has failed, the server is stopped, and writes that have not started are skipped.
 */
final class PersistenceExecutor {
    private final Executor diskThread;
    private final ReplicaStorage storage;
    private final ServerContext context;
    private final Consumer<String> onFailure;
    private volatile boolean stopped;

    /**
     * Creates the executor.
     *
     * @param diskThread runs tasks one after the other
     * @param onFailure called on the event loop with the reason if a write fails
     */
    PersistenceExecutor(
            Executor diskThread, ReplicaStorage storage, ServerContext context, Consumer<String> onFailure) {
        this.diskThread = diskThread;
        this.storage = storage;
        this.context = context;
        this.onFailure = onFailure;
    }

    /** Queues a write. Once it is durable, {@link Event.Persisted} is delivered on the event loop. */
    void submit(Action.Persist action) {
        diskThread.execute(() -> persist(action));
    }

    /** Makes writes that have not started be skipped. May be called on any thread. */
    void stop() {
        stopped = true;
    }

    private void persist(Action.Persist action) {
        if (stopped) {
            return;
        }
        try {
            storage.persist(action);
            context.loop().execute(() -> context.events().accept(new Event.Persisted(action.token())));
        } catch (DiskException | RuntimeException e) {
            String reason = "the disk has failed (" + e.getMessage()
                    + "): the state of its files is unknown; repair it and restart this config server";
            context.loop().execute(() -> onFailure.accept(reason));
        }
    }
}
