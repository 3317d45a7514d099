package sedgeyoke.consensus;

import java.util.List;

/** What happens to a keeper. */
public sealed interface Event {
    /** Time has passed; comes often. */
    record Tick() implements Event {}

    /** A message from a keeper that its certificate names; {@code storageId} is what it says that it keeps. */
    record Received(String from, long storageId, RaftMessage message) implements Event {}

    /** What was asked for under this token, and all before it, is on disk. */
    record Persisted(long token) implements Event {}

    /** Somebody asks; the answer bears the token. */
    record RequestReceived(long token, ClientRequest request) implements Event {}

    /** Balancers that follow here ask for leases. */
    record LeasesRequested(List<LeaseRequest> requests) implements Event {}

    /** The keeper is about to end: if it leads, another one is to. */
    record TransferLeadership() implements Event {}
}
