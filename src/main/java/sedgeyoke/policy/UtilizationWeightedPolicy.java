package sedgeyoke.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The load-balancing policy. It passes each event to the modules that the event concerns, in a fixed order, and then
 * dispatches queued requests. Each rule is implemented by one module, and only that module changes the state of the
 * rule:
 *
 * <ul>
 *   <li>{@link UpstreamSelector} and {@link UpstreamScore} select an upstream, with {@link Aperture},
 *       {@link ZonePreference}, {@link KeyAffinity} and the weights of {@link UtilizationReweighting};
 *   <li>{@link ConcurrencyLimits}, {@link SlowStart} and {@link OutlierDetection} limit the requests to an
 *       upstream;
 *   <li>{@link AdmissionControl} admits, prioritises and sheds requests; {@link RetryPolicy} decides which attempts
 *       a request may have;
 *   <li>{@link RequestCompletion} ends requests that no upstream served, each with an {@link UnservedReason};
 *   <li>{@link TrafficRegime} holds all rules that depend on the number of balancers.
 * </ul>
 */
public final class UtilizationWeightedPolicy implements LoadBalancingPolicy {
    private static final Timer SWEEP = new Timer("sweep");

    private final Settings settings;
    private final Actions actions;
    private final PolicyModules modules;
    private long requestNumber;

    /** Creates an instance; throws IllegalArgumentException for invalid settings. */
    public UtilizationWeightedPolicy(Settings settings, long seed, Actions actions) {
        SettingsValidator.check(settings);
        this.settings = settings;
        this.actions = actions;
        this.modules = new PolicyModules(settings, new SplittableRandom(seed), actions);
    }

    @Override
    public void start(long nowMicros) {
        modules.reweighting.start(nowMicros);
        modules.healthChecks.start(nowMicros);
        actions.setTimer(SWEEP, Deadlines.SWEEP_PERIOD_MICROS);
        modules.subscription.start();
    }

    @Override
    public void endpointsUpdated(long nowMicros, ListKind kind, List<Upstream> entries) {
        modules.subscription.succeeded();
        modules.upstreams.update(kind, entries, nowMicros);
        modules.dispatcher.dispatchQueued(nowMicros);
    }

    @Override
    public void endpointsUnavailable(long nowMicros) {
        modules.subscription.failed(nowMicros);
    }

    @Override
    public void cordonsUpdated(long nowMicros, Cordons cordons) {
        modules.upstreams.update(cordons, nowMicros);
        modules.dispatcher.dispatchQueued(nowMicros);
    }

    @Override
    public void requestArrived(long nowMicros, Request arrived) {
        RequestClass requestClass = settings.classes().get(arrived.classIndex());
        RequestState request = new RequestState(arrived, requestClass, requestNumber++, nowMicros);
        modules.costs.assign(request);
        modules.admission.prioritise(request, nowMicros);
        modules.rates.count(arrived);
        modules.requests.add(request);
        if (modules.deadlines.isOutOfTime(request, nowMicros)) {
            modules.completion.finishUnserved(request, UnservedReason.LATE_ON_ARRIVAL, nowMicros);
        } else if (!modules.admission.admits()) {
            modules.completion.finishUnserved(request, UnservedReason.NOT_ADMITTED, nowMicros);
        } else {
            modules.retryPolicy.creditRequest();
            modules.queue.add(request);
            modules.dispatcher.dispatchQueued(nowMicros);
        }
    }

    @Override
    public void attemptEnded(long nowMicros, AttemptEnd end) {
        recordReport(end.upstream(), end.load(), nowMicros);
        RequestState request = modules.requests.find(end.request()).orElse(null);
        AttemptState attempt =
                request == null ? null : request.attempt(end.attempt()).orElse(null);
        if (attempt == null) {
            return;
        }
        if (attempt.outstanding) {
            request.end(attempt, end.outcome());
            attempt.upstream.inFlight.end(attempt, request.cost);
            modules.outcomes.record(request, attempt, end, nowMicros);
            modules.admission.recordEnd(request, end);
        }
        request.ended |= end.concluded();
        if (request.ended) {
            modules.requests.removeIfDone(request);
        } else if (!request.hasOutstandingAttempt()) {
            retryOrFinish(request, nowMicros);
        }
        modules.dispatcher.dispatchQueued(nowMicros);
    }

    /** Retries or queues a request whose last outstanding attempt failed; ends it if neither is allowed. */
    private void retryOrFinish(RequestState request, long nowMicros) {
        boolean continues =
                switch (modules.retryPolicy.afterFailure(request, nowMicros)) {
                    case RETRY_AT_ONCE -> modules.dispatcher.retryAtOnce(request, nowMicros);
                    case QUEUE_AGAIN -> {
                        modules.queue.add(request);
                        yield true;
                    }
                    case GIVE_UP -> false;
                };
        if (!continues) {
            modules.completion.finishUnserved(request, UnservedReason.NO_RETRY_LEFT, nowMicros);
        }
    }

    @Override
    public void responseStarted(long nowMicros, String requestId, int attemptNumber) {
        RequestState request = modules.requests.find(requestId).orElse(null);
        AttemptState attempt =
                request == null ? null : request.attempt(attemptNumber).orElse(null);
        if (attempt != null && !request.streaming) {
            request.streaming = true;
            attempt.upstream.inFlight.beginStream(attempt);
        }
    }

    @Override
    public void transferStarted(long nowMicros, String requestId, int attemptNumber) {
        RequestState request = modules.requests.find(requestId).orElse(null);
        AttemptState attempt =
                request == null ? null : request.attempt(attemptNumber).orElse(null);
        if (attempt != null && attempt.outstanding && !attempt.transfer) {
            attempt.upstream.inFlight.becomeTransfer(attempt, request.cost);
            modules.dispatcher.dispatchQueued(nowMicros);
        }
    }

    @Override
    public void clientDisconnected(long nowMicros, String requestId) {
        modules.requests.find(requestId).filter(request -> !request.ended).ifPresent(modules.completion::conclude);
    }

    @Override
    public void healthCheckCompleted(long nowMicros, String upstreamId, Outcome outcome, LoadReport load) {
        if (outcome == Outcome.OK) {
            recordReport(upstreamId, load, nowMicros);
        }
    }

    private void recordReport(String upstreamId, LoadReport load, long nowMicros) {
        if (load != null) {
            modules.upstreams.find(upstreamId).ifPresent(upstream -> modules.reports.record(upstream, load, nowMicros));
        }
    }

    @Override
    public void planUpdated(long nowMicros, Plan plan) {
        modules.slowStart.refill(modules.upstreams.ready(), nowMicros);
        modules.plans.update(nowMicros, plan);
        plan.upstreams().forEach(view -> apply(view, nowMicros));
        // Refills again under the new quotas: a bucket whose quota is now delegated loses its tokens.
        modules.slowStart.refill(modules.upstreams.ready(), nowMicros);
        modules.plans.apply(modules.upstreams.ready(), nowMicros);
        modules.dispatcher.dispatchQueued(nowMicros);
    }

    /**
     * Applies a plan to one upstream. It can lower the load that we send or raise it by grants, but adds no upstream.
     */
    private void apply(UpstreamView view, long nowMicros) {
        modules.upstreams.find(view.id()).ifPresent(upstream -> {
            modules.slowStart.notifyLaunch(upstream, view, nowMicros);
            modules.plans.record(upstream, view);
        });
    }

    @Override
    public Summary summary(long nowMicros) {
        return modules.summary.at(nowMicros);
    }

    @Override
    public void timerFired(long nowMicros, Timer timer) {
        if (!timer.equals(SWEEP)) {
            return;
        }
        actions.setTimer(SWEEP, Deadlines.SWEEP_PERIOD_MICROS);
        modules.requests.expire(
                nowMicros,
                request -> modules.completion.finishUnserved(request, UnservedReason.OUT_OF_TIME, nowMicros));
        modules.outliers.ejectHanging(modules.upstreams.ready(), nowMicros);
        modules.plans.fade(modules.upstreams.ready(), nowMicros);
        shedLateRequests(nowMicros);
        if (modules.reweighting.isDue(nowMicros)) {
            endReweightingPeriod(nowMicros);
        }
        modules.subscription.retryIfDue(nowMicros);
        modules.healthChecks.checkIfDue(modules.upstreams.ready(), nowMicros);
        modules.dispatcher.dispatchQueued(nowMicros);
    }

    private void shedLateRequests(long nowMicros) {
        for (RequestState request : modules.queue.snapshot()) {
            if (modules.admission.shouldShed(request, nowMicros)) {
                modules.completion.finishUnserved(request, UnservedReason.SHED, nowMicros);
            }
        }
    }

    private void endReweightingPeriod(long nowMicros) {
        modules.rates.endPeriod(modules.reweighting.beginPeriod(nowMicros));
        modules.outliers.decayErrorRates(modules.upstreams.ready());
        modules.ratings.updateSum(modules.upstreams.ready());
        modules.reweighting.reweight(modules.upstreams.ready(), nowMicros);
    }

    @Override
    public void peerMessageReceived(long nowMicros, int from, byte[] body) {} // this policy sends no messages to peers
}
