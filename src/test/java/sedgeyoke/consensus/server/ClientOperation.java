package sedgeyoke.consensus.server;

import sedgeyoke.consensus.ClientRequest;
import sedgeyoke.consensus.RequestResult;

/** A request as its client sees it; times are microseconds of the simulation. */
final class ClientOperation {
    final ClientRequest request;
    final long startedAt;
    long endedAt = Long.MAX_VALUE;
    /** Null until the client has a final result. */
    RequestResult result;

    ClientOperation(ClientRequest request, long startedAt) {
        this.request = request;
        this.startedAt = startedAt;
    }

    boolean isCompleted() {
        return result != null;
    }

    /** Whether the result shows a version that was the newest at some time during the operation. */
    boolean observesVersion() {
        boolean done = result.kind() == RequestResult.Kind.DONE;
        return result.version() > 0
                && (request instanceof ClientRequest.Read || (request instanceof ClientRequest.Set && done));
    }
}
