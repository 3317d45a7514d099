package sedgeyoke.simulator;

import java.io.PrintStream;
import java.util.List;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Timer;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Calls the policy method that handles an event's kind. */
final class EventDispatcher {
    private final PolicyInstances instances;
    private final PrintStream err;

    /** Creates a dispatcher that skips events of unknown kinds and logs them to {@code err}. */
    EventDispatcher(PolicyInstances instances, PrintStream err) {
        this.instances = instances;
        this.err = err;
    }

    void dispatch(Event event, long now) throws InvalidInputException {
        EventKind kind = EventKind.byWireName(event.kindName());
        if (kind == null) {
            err.println("skipped an event of unknown kind " + event.kindName());
            return;
        }
        int instance = event.instance();
        switch (kind) {
            case CREATE -> instances.create(instance, now, event.settings(), event.seed());
            case DESTROY -> instances.destroy(instance);
            case ENDPOINTS -> endpointsUpdated(event, instance, now);
            case REQUEST -> requestArrived(event, instance, now);
            case ATTEMPT_ENDED -> attemptEnded(event, instance, now);
            case HEALTH_CHECK_COMPLETED -> healthCheckCompleted(event, instance, now);
            case CLIENT_DISCONNECTED -> clientDisconnected(event, instance, now);
            case RESPONSE_STARTED -> responseStarted(event, instance, now);
            case TIMER -> timerFired(event, instance, now);
            case PEER_MESSAGE -> peerMessageReceived(event, instance, now);
            default -> throw new IllegalStateException(kind.toString());
        }
    }

    private void endpointsUpdated(Event event, int instance, long now) throws InvalidInputException {
        if (event.listUnavailable()) {
            instances.notify(instance, policy -> policy.endpointsUnavailable(now));
            return;
        }
        ListKind listKind = event.listKind();
        List<Upstream> upstreams = event.upstreams();
        instances.notify(instance, policy -> policy.endpointsUpdated(now, listKind, upstreams));
    }

    private void requestArrived(Event event, int instance, long now) throws InvalidInputException {
        Request request = event.request();
        instances.notify(instance, policy -> policy.requestArrived(now, request));
    }

    private void attemptEnded(Event event, int instance, long now) throws InvalidInputException {
        AttemptEnd end = event.attemptEnd(instances.reportNames(instance));
        instances.notify(instance, policy -> policy.attemptEnded(now, end));
    }

    private void healthCheckCompleted(Event event, int instance, long now) throws InvalidInputException {
        String upstream = event.upstream();
        Outcome outcome = event.outcome();
        LoadReport load = event.loadReport(instances.reportNames(instance));
        instances.notify(instance, policy -> policy.healthCheckCompleted(now, upstream, outcome, load));
    }

    private void clientDisconnected(Event event, int instance, long now) throws InvalidInputException {
        String requestId = event.requestId();
        instances.notify(instance, policy -> policy.clientDisconnected(now, requestId));
    }

    private void responseStarted(Event event, int instance, long now) throws InvalidInputException {
        String requestId = event.requestId();
        int attempt = event.attempt();
        instances.notify(instance, policy -> policy.responseStarted(now, requestId, attempt));
    }

    private void timerFired(Event event, int instance, long now) throws InvalidInputException {
        Timer timer = new Timer(event.timerToken());
        instances.notify(instance, policy -> policy.timerFired(now, timer));
    }

    private void peerMessageReceived(Event event, int instance, long now) throws InvalidInputException {
        int peer = event.peer();
        byte[] message = event.peerMessage();
        instances.notify(instance, policy -> policy.peerMessageReceived(now, peer, message));
    }
}
