package sedgeyoke.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Takes in the events and selects upstreams in proportion to (weight / (in flight + 1))^4, as in Envoy's
 * weighted least request. Each period reweights them by their reported utilisation against the mean.
 */
public final class UtilizationWeightedPolicy implements LoadBalancingPolicy {

    private static final double MICROS_PER_SECOND = 1e6;
    private static final long SWEEP_PERIOD_MICROS = 10_000; // between checks of deadlines and of the queue
    private static final long REWEIGHT_PERIOD_MICROS = 250_000; // mean; jitter keeps balancers out of step
    private static final double GAIN = 0.25; // change of the log weight for a utilisation 1.0 off the mean
    private static final double LEAK = 0.02; // share of the learnt log weight that a period forgets
    private static final double MAX_LOG_WEIGHT = 1.5; // a factor of about 4.5 either way
    private static final long APERTURE_MICROS = 3_000_000; // its requests are the aperture size
    private static final int MIN_APERTURE = 6;
    private static final double REPORT_MEMORY = 20; // mean response times until a report counts nothing
    private static final double MAX_REPORTED_ACTIVE = 1e3;
    private static final double OVERLOADED_SLOWNESS = 3; // slowness that ends affinity, with sparse traffic
    private static final int RING_SHARERS = 8; // balancers that share one ring of upstreams
    private static final double SPARSE_ERROR_WEIGHT = 0.8; // with sparse traffic few errors come by chance
    private static final double SPARSE_ERROR_DECAY = 0.95; // of the error rate, for each period
    private static final double CROSS_ZONE_WEIGHT = 80; // added to the own zone's weight, times its price
    private static final double OWN_ZONE_AFFINITY = 4; // weight of the own zone in the affinity hash
    private static final double AFFINITY_WEIGHT = 2.5; // weight of the affinity upstream, whose cache is warm
    private static final double SPARSE_AFFINITY_WEIGHT = 5; // the same with sparse traffic
    private static final double SMOOTHING = 0.15; // for averages of one upstream
    private static final double FLEET_SMOOTHING = 0.02; // for averages over all upstreams
    private static final double HEALTH_CHECK_POINTS = 0.003; // points that health checks may cost per request
    private static final long CHECK_INTERVAL_MICROS = 300_000; // least, between two of one upstream
    private static final long FIRST_BACKOFF_MICROS = 500_000; // mean; doubles with each failure
    private static final double MAX_BACKOFF_SHARE = 0.25; // longest backoff, as a share of the poll limit
    private static final double SLOW_START_USE = 0.5; // share of our slow-start quota that we use
    private static final double MAX_KIND_SPEED = 5; // bounds the factor, as reports may be wrong
    private static final double MIN_CLASS_RATE = 0.01; // requests a second of a class, until counted
    private static final double MIN_BUCKET_SIZE = 1.5; // of a slow-start bucket, in mean requests
    private static final double TRANSFER_LOAD = 0.1; // of a transfer, in requests: a connection, no core
    private static final double PLANNED_LIMIT_EXPONENT = 0.5; // on the ratio of planned limit to own limit
    private static final long MARGIN_TICKS = 3; // requests end a sweep and this before their deadline

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long deadlineMargin;
    private final long waitTarget;
    private final long longestTimeout;

    private final Map<String, UpstreamState> upstreamsById = new LinkedHashMap<>();
    private final List<UpstreamState> ready = new ArrayList<>();
    private Map<String, Long> cordoned = Map.of();
    private final Map<String, RequestState> requests = new HashMap<>();
    private final PriorityQueue<RequestState> byDeadline = new PriorityQueue<>(
            Comparator.<RequestState>comparingLong(r -> r.deadline).thenComparingLong(r -> r.number));
    private final TreeSet<RequestState> queue = new TreeSet<>(
            Comparator.<RequestState>comparingDouble(r -> -r.priority).thenComparingLong(r -> -r.number));
    private final double[] classResponseTimes;
    private long requestNumber;
    private long nextReweight;
    private long nextHealthCheck;
    private double meanActive; // requests in flight, as reported by all upstreams
    private double meanServiceTime; // as reported by all upstreams

    private final Map<Integer, Double> serviceTimeByKind = new HashMap<>(); // by zone and kind
    private final AdmissionControl admission;
    private final RetryPolicy retryPolicy;
    private long listGeneration;
    private double meanResponseTime;
    private double meanRequestCost;
    private double ratingSum;
    private final PlanBlend plans = new PlanBlend();
    private final LaunchTimes launchTimes = new LaunchTimes();
    private boolean planCounted;
    private final RateEstimator requestRate = new RateEstimator();
    private final List<RateEstimator> classRates;
    private long resubscribeAt = Long.MAX_VALUE;
    private long resubscribeBackoff;

    /** Creates an instance; throws IllegalArgumentException for invalid settings. */
    public UtilizationWeightedPolicy(Settings settings, long seed, Actions actions) {
        SettingsValidator.check(settings);
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        long tick = Math.max(settings.clockTickMicros(), 1_000);
        this.deadlineMargin = SWEEP_PERIOD_MICROS + MARGIN_TICKS * tick;
        this.retryPolicy = new RetryPolicy(settings, deadlineMargin);
        List<RequestClass> classes = settings.classes();
        long objective = classes.stream()
                .mapToLong(RequestClass::latencyObjectiveMicros)
                .min()
                .orElse(Long.MAX_VALUE);
        this.waitTarget = (long) (ConcurrencyLimits.WAIT_TARGET_SHARE * objective);
        this.longestTimeout = classes.stream()
                .mapToLong(RequestClass::clientTimeoutMicros)
                .max()
                .orElse(0);
        this.admission = new AdmissionControl(settings);
        this.classResponseTimes = new double[classes.size()];
        this.classRates = classes.stream().map(each -> new RateEstimator()).toList();
    }

    @Override
    public void start(long now) {
        nextReweight = now + jitter(REWEIGHT_PERIOD_MICROS);
        nextHealthCheck = now + jitter(CHECK_INTERVAL_MICROS);
        actions.setTimer("sweep", SWEEP_PERIOD_MICROS);
        if (settings.subscribesToEndpoints()) {
            actions.watchEndpoints(true);
        }
    }

    private long jitter(long period) {
        return period / 2 + random.nextLong(period);
    }

    @Override
    public void endpointsUpdated(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.UNAVAILABLE) {
            long longest = (long) Math.max(
                    FIRST_BACKOFF_MICROS, MAX_BACKOFF_SHARE * settings.rules().endpointPollLimitMicros());
            resubscribeBackoff = Math.min(longest, Math.max(FIRST_BACKOFF_MICROS, 2 * resubscribeBackoff));
            resubscribeAt = now + jitter(resubscribeBackoff);
            return;
        }
        resubscribeBackoff = 0;
        if (kind != ListKind.CHANGES) {
            upstreamsById.keySet().retainAll(entries.stream().map(Upstream::id).collect(Collectors.toSet()));
        }
        launchTimes.observe(entries, now);
        entries.forEach(entry -> apply(now, entry));
        if (kind != ListKind.RESTORED) {
            launchTimes.watched();
        }
        upstreamsById.values().removeIf(each -> each.entry.state() == State.REMOVED); // or ids would pile up
        sortUpstreams();
        dispatchQueued(now);
    }

    /** Each balancer enters a shared ring elsewhere, so all upstreams are in about as many apertures. */
    private void sortUpstreams() {
        listGeneration++;
        ready.clear();
        upstreamsById.values().stream()
                .filter(each -> each.entry.state() == State.READY && !cordoned.containsKey(each.id))
                .forEach(ready::add);
        ready.sort(
                Comparator.<UpstreamState>comparingDouble(u -> u.ringPosition).thenComparing(u -> u.id));
        Collections.rotate(ready, settings.position() % RING_SHARERS * ready.size() / RING_SHARERS);
        int[] seen = new int[2];
        Map<UpstreamState, Double> turn = new HashMap<>();
        for (UpstreamState upstream : ready) {
            turn.put(upstream, ++seen[zoneWeight(upstream) > 1 ? 1 : 0] / zoneWeight(upstream));
        }
        ready.sort(Comparator.comparingDouble(turn::get));
    }

    private void apply(long now, Upstream entry) {
        UpstreamState upstream = upstreamsById.get(entry.id());
        if (upstream == null || isOtherProcess(entry, upstream.entry)) {
            upstream = addUpstream(entry.id(), now);
            upstream.slowStartBeganAt = launchTimes.slowStartBegan(entry.id(), entry.launchedAtMicros(), now);
        }
        upstream.entry = entry;
    }

    /** Stamps tell processes apart; a restart after a step of that clock may have the smaller one. */
    private static boolean isOtherProcess(Upstream entry, Upstream before) {
        return entry.launchedAtMicros() > 0 && entry.launchedAtMicros() != before.launchedAtMicros();
    }

    /** A new process has a new state: nothing known of the old one holds for it. */
    private UpstreamState addUpstream(String id, long now) {
        UpstreamState upstream = new UpstreamState(id);
        upstream.limit = ConcurrencyLimits.initialLimit(settings.groupSize());
        upstream.slowStart = new SlowStartBucket(random.nextDouble(), now);
        upstream.ringPosition = RendezvousHash.unit(settings.position() / RING_SHARERS, id.hashCode());
        upstreamsById.put(id, upstream);
        return upstream;
    }

    /**
     * An upstream whose cordon ends starts slowly from now, unless the list has a later launch: operators
     * restart what they cordon. Map.copyOf orders several at once, and their random draws, by JVM: known.
     */
    @Override
    public void cordonsUpdated(long now, Map<String, Long> cordons) {
        Map<String, Long> before = cordoned;
        cordoned = Map.copyOf(cordons);
        before.forEach((id, since) -> {
            UpstreamState old = upstreamsById.get(id);
            if (!cordoned.containsKey(id) && old != null && old.launchedAtMicros() <= since) {
                UpstreamState upstream = addUpstream(id, now);
                upstream.entry = old.entry;
                upstream.notifiedLaunchAt = now;
                upstream.slowStartBeganAt = now;
            }
        });
        sortUpstreams();
        dispatchQueued(now);
    }

    private void reweight(long now) {
        double sum = 0;
        int fresh = 0;
        ratingSum = 0;
        for (UpstreamState upstream : ready) {
            upstream.errorRate *= sparseTraffic() ? SPARSE_ERROR_DECAY : 1;
            ratingSum += rating(upstream);
            upstream.utilisation = Double.NaN;
            if (upstream.hasFreshReport(now)) {
                upstream.utilisation = Math.max(0, Math.min(1, upstream.report.utilisation()));
                sum += upstream.utilisation;
                fresh++;
            }
        }
        double mean = fresh == 0 ? 0 : sum / fresh;
        double logSum = 0;
        for (UpstreamState upstream : ready) {
            if (!Double.isNaN(upstream.utilisation)) {
                double moved = upstream.logWeight * (1 - LEAK) + GAIN * (mean - upstream.utilisation);
                upstream.logWeight = Math.max(-MAX_LOG_WEIGHT, Math.min(MAX_LOG_WEIGHT, moved));
                logSum += upstream.logWeight;
            }
        }
        for (UpstreamState upstream : ready) {
            if (Double.isNaN(upstream.utilisation)) {
                upstream.logWeight = fresh == 0 ? upstream.logWeight * (1 - LEAK) : logSum / fresh;
            }
            upstream.weight = rating(upstream) * Math.exp(upstream.logWeight);
        }
    }

    private double rating(UpstreamState upstream) {
        double rating = upstream.entry.rating();
        return settings.ratings() == Ratings.NONE || !(rating > 0) ? kindSpeed(upstream) : rating;
    }

    /** Speed of its zone and kind against the mean: sparse traffic learns that of one upstream too slowly. */
    private double kindSpeed(UpstreamState upstream) {
        double kind = serviceTimeByKind.getOrDefault(zoneAndKind(upstream), meanServiceTime);
        double factor = Math.max(1 / MAX_KIND_SPEED, Math.min(MAX_KIND_SPEED, meanServiceTime / kind));
        return sparseTraffic() && kind > 0 ? factor : 1;
    }

    private int zoneAndKind(UpstreamState upstream) {
        return upstream.entry.kind() * settings.zones() + upstream.entry.zone();
    }

    private void recordReport(String id, LoadReport report, long now) {
        UpstreamState upstream = report == null ? null : upstreamsById.get(id);
        if (upstream == null || !(report.utilisation() >= -0.5 && report.utilisation() <= 2)) {
            return;
        }
        upstream.report = report;
        upstream.reportedAtMicros = now;
        double active = report.active() >= 0 ? report.active() : report.waiting();
        upstream.reportedActive = active >= 0 ? Math.min(active, MAX_REPORTED_ACTIVE) : 0;
        meanActive += SMOOTHING * (upstream.reportedActive - meanActive);
        boolean validTime = report.serviceTimeMicros() > 0 && report.serviceTimeMicros() <= longestTimeout;
        if (validTime) {
            upstream.serviceTimeMicros = report.serviceTimeMicros();
            upstream.serviceTimeAt = now;
            double seen = upstream.serviceTimeMicros;
            meanServiceTime = MovingAverage.next(meanServiceTime, seen, FLEET_SMOOTHING);
            int kind = zoneAndKind(upstream);
            serviceTimeByKind.merge(kind, seen, (a, b) -> MovingAverage.next(a, b, FLEET_SMOOTHING));
        }
    }

    private void recordOutcome(RequestState request, Attempt attempt, AttemptEnd end, long now) {
        UpstreamState upstream = attempt.upstream;
        switch (end.outcome()) {
            case OK -> recordSuccess(request, attempt, (double) end.durationMicros(), now);
            case TIMEOUT, CANCELLED -> recordNoResponse(request, attempt, end.durationMicros(), now);
            case CONNECT_FAILED -> {
                // Without a response since the attempt was sent it is down; else it is out of connections.
                if (upstream.lastResponseAt < attempt.sentAt) {
                    OutlierDetection.eject(upstream, now);
                } else {
                    upstream.limit = Math.min(upstream.limit, Math.max(1, upstream.inFlight));
                }
            }
            case REJECTED -> {
                double used = Math.min(upstream.limit, upstream.inFlight + 1);
                double cut = used * ConcurrencyLimits.MAX_LIMIT_FACTOR;
                upstream.limit = Math.max(ConcurrencyLimits.MIN_LIMIT, cut);
                if (sparseTraffic()) {
                    upstream.backOffUntil = now + (long) meanResponseTime;
                }
                backOff(upstream, meanResponseTime, now);
            }
            case ERROR, RESET -> {
                upstream.lastProgressAt = now;
                boolean sparseError = sparseTraffic() && end.outcome() == Outcome.ERROR;
                double smoothing = sparseError ? SPARSE_ERROR_WEIGHT : SMOOTHING;
                upstream.errorRate += smoothing * (1 - upstream.errorRate);
                if (upstream.errorRate > 0.5 && !sparseTraffic()) {
                    OutlierDetection.eject(upstream, now);
                }
            }
            default -> {} // an attempt that was never sent says nothing
        }
    }

    private void recordSuccess(RequestState request, Attempt attempt, double duration, long now) {
        UpstreamState upstream = attempt.upstream;
        upstream.lastProgressAt = now;
        upstream.lastResponseAt = now;
        OutlierDetection.recordSuccess(upstream);
        upstream.errorRate *= 1 - SMOOTHING;
        if (request.request.bodyPending()) {
            return; // buffers took as much of the time since its last byte went out as the upstream
        }
        upstream.meanResponseTime = MovingAverage.next(upstream.meanResponseTime, duration, SMOOTHING);
        meanResponseTime = MovingAverage.next(meanResponseTime, duration, FLEET_SMOOTHING);
        double waited = ConcurrencyLimits.waitingTime(upstream, request, duration, now);
        double wait = upstream.reportsCapacity(now) ? 0 : waited; // then a long response was long work
        ConcurrencyLimits.adjust(attempt, wait, request.requestClass.latencyObjectiveMicros(), now);
        backOff(upstream, duration, now);
        int index = request.request.classIndex();
        classResponseTimes[index] = MovingAverage.next(classResponseTimes[index], duration, FLEET_SMOOTHING);
    }

    /** No response in all that time is the longest waiting there is; the work may still run there. */
    private void recordNoResponse(RequestState request, Attempt attempt, long duration, long now) {
        if (request.request.bodyPending()) {
            return;
        }
        UpstreamState upstream = attempt.upstream;
        double wait = duration - ConcurrencyLimits.hintedTime(request, upstream.leastServiceTime);
        ConcurrencyLimits.adjust(attempt, wait, request.requestClass.latencyObjectiveMicros(), now);
        backOff(upstream, (double) duration, now);
        if (duration > meanServiceTime * slowness(upstream, now)) {
            upstream.serviceTimeMicros = duration; // overloaded upstreams send no reports
            upstream.serviceTimeAt = now;
        }
    }

    private void backOff(UpstreamState upstream, double duration, long now) {
        if (!sparseTraffic()) {
            ConcurrencyLimits.backOff(upstream, duration, now);
        }
    }

    /** Draws an upstream; null if none may take the request now. A retry ignores limits: it is urgent. */
    private UpstreamState selectUpstream(RequestState request, long now, boolean urgent) {
        boolean panic = OutlierDetection.isPanic(ready, now);
        double[] scores = new double[ready.size()];
        double sum = 0;
        int wanted = apertureSize();
        UpstreamState preferred = affinityUpstream(request, now);
        for (int i = 0; i < scores.length; i++) {
            UpstreamState upstream = ready.get(i);
            // The affinity upstream is the same for all balancers, so most apertures leave it out.
            if (wanted <= 0 && upstream != preferred
                    || !isEligible(upstream, request, now, panic)
                    || (!urgent || sparseTraffic()) && !hasCapacity(upstream, now)) {
                continue;
            }
            double served = Math.pow(1 - upstream.errorRate, 2);
            double weight = upstream.weight * warmUpFactor(upstream, now) * served;
            weight *= zoneWeight(upstream) + upstream.zoneSpillover;
            if (upstream.ejectionTime > OutlierDetection.BASE_EJECTION_MICROS) {
                weight *= request.requestClass.effect() == Effect.UNSAFE ? 0.02 : 0.3;
            }
            double others = sparseTraffic() ? othersInFlight(upstream, now) : 0;
            // With sparse traffic the tokens of a slow-starting upstream would go unused.
            boolean favoured = upstream == preferred || sparseTraffic() && warmUpFactor(upstream, now) < 1;
            double affinity = sparseTraffic() ? SPARSE_AFFINITY_WEIGHT : AFFINITY_WEIGHT;
            double drawn = favoured ? fourthPower(affinity) : 1;
            double score = sparseTraffic() ? weight / slowness(upstream, now) : fourthPower(weight);
            scores[i] = score * drawn / fourthPower(loadUnits(upstream) + others + 1);
            sum += scores[i];
            wanted--;
        }
        return sum > 0 ? ready.get(WeightedDraw.draw(scores, sum, random)) : null;
    }

    private boolean isEligible(UpstreamState upstream, RequestState request, long now, boolean panic) {
        boolean open = panic || !OutlierDetection.isEjected(upstream, now);
        return open && retryPolicy.mayAttempt(request, upstream, now) && quotaAllows(upstream, request, now);
    }

    /** What other balancers have in flight there: as last reported, fading to the mean. */
    private double othersInFlight(UpstreamState upstream, long now) {
        double confidence = confidence(upstream.reportedAtMicros, now);
        return meanActive + confidence * (upstream.reportedActive - meanActive);
    }

    /** How much longer its service takes than the mean; concurrent requests share cores and show in it. */
    private double slowness(UpstreamState upstream, long now) {
        boolean known = upstream.serviceTimeMicros > 0 && meanServiceTime > 0;
        double ratio = known ? upstream.serviceTimeMicros / meanServiceTime : 1;
        return Math.pow(ratio, confidence(upstream.serviceTimeAt, now));
    }

    /** How much an observation of that time still counts, from 1 to 0. */
    private double confidence(long seenAt, long now) {
        return Math.max(0, 1 - (now - seenAt) / Math.max(1, REPORT_MEMORY * meanResponseTime));
    }

    private static double fourthPower(double value) {
        return value * value * value * value;
    }

    /** In flight, half by count and half by hinted work in mean requests: one heavy request holds up many. */
    private double loadUnits(UpstreamState upstream) {
        double units = Math.max(0, upstream.workInFlight) / Math.max(meanRequestCost, 1);
        return (upstream.inFlight + units) / 2 + TRANSFER_LOAD * upstream.transfers;
    }

    /** Whether its in-flight limit allows another attempt; with sparse traffic, whether it is not paused. */
    private boolean hasCapacity(UpstreamState upstream, long now) {
        if (now < upstream.backOffUntil || sparseTraffic()) {
            return now >= upstream.backOffUntil;
        }
        double limit = upstream.limit * upstream.limitFactor * warmUpFactor(upstream, now);
        return upstream.inFlight + 1 <= Math.max(1, limit);
    }

    /** With more balancers than upstreams, the load that our requests meet is mostly that of others. */
    private boolean sparseTraffic() {
        return settings.groupSize() > ready.size();
    }

    /** The first upstreams in our order that our traffic suffices to keep fresh reports of. */
    private int apertureSize() {
        double size = Math.max(MIN_APERTURE, requestRate.perSecond() * APERTURE_MICROS / MICROS_PER_SECOND);
        return requestRate.periods() >= 4 ? (int) size : ready.size();
    }

    private double zoneWeight(UpstreamState upstream) {
        double ownZoneWeight = 1 + CROSS_ZONE_WEIGHT * settings.prices().crossZone();
        return upstream.entry.zone() == settings.zone() ? ownZoneWeight : 1;
    }

    /** The affinity upstream of the request if it is healthy, else the next; cached for each list. */
    private UpstreamState affinityUpstream(RequestState request, long now) {
        if (!settings.keyAffinity() || request.request.affinityKey() == null) {
            return null;
        }
        if (request.affinityGeneration != listGeneration) {
            request.affinityGeneration = listGeneration;
            request.affinityUpstream = highestScore(request.request.affinityKey(), ready);
        }
        if (request.affinityUpstream == null || isHealthy(request.affinityUpstream, now)) {
            return request.affinityUpstream;
        }
        List<UpstreamState> healthy =
                ready.stream().filter(each -> isHealthy(each, now)).toList();
        return highestScore(request.request.affinityKey(), healthy);
    }

    private boolean isHealthy(UpstreamState upstream, long now) {
        boolean failing = sparseTraffic() && !(upstream.errorRate < 0.5);
        boolean fast = !sparseTraffic() || slowness(upstream, now) < OVERLOADED_SLOWNESS;
        return !failing && fast && !OutlierDetection.isEjected(upstream, now);
    }

    /** The same upstream at every balancer, by rendezvous hashing (Thaler and Ravishankar, 1998). */
    private UpstreamState highestScore(String key, List<UpstreamState> among) {
        UpstreamState best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (UpstreamState upstream : among) {
            double near = rating(upstream) * (zoneWeight(upstream) > 1 ? OWN_ZONE_AFFINITY : 1);
            double score = RendezvousHash.score(near, key.hashCode(), upstream.id.hashCode());
            if (score > most) {
                most = score;
                best = upstream;
            }
        }
        return best;
    }

    private void send(RequestState request, UpstreamState upstream, long now) {
        queue.remove(request);
        if (upstream.inFlight == 0) {
            upstream.lastProgressAt = now;
        }
        Attempt attempt = new Attempt(upstream, now);
        request.attempts.add(attempt);
        request.outstanding++;
        attempt.countInFlight(request.cost, 1);
        boolean paused = now - upstream.backOffUntil < upstream.meanResponseTime;
        attempt.sentAtLimit = upstream.limit < 1 ? paused : upstream.inFlight + 1 > upstream.limit;
        upstream.attemptsSent++;
        upstream.slowStart.spend(slowStartCost(request));
        actions.send(request.request.id(), upstream.id, 0);
    }

    @Override
    public void transferStarted(long now, String requestId, int attemptNumber) {
        RequestState request = requests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(attemptNumber);
        if (attempt != null && attempt.outstanding && !attempt.transfer) {
            attempt.countInFlight(request.cost, -1);
            attempt.transfer = true;
            attempt.countInFlight(request.cost, 1);
            dispatchQueued(now);
        }
    }

    @Override
    public void attemptEnded(long now, AttemptEnd end) {
        recordReport(end.upstream(), end.load(), now);
        RequestState request = requests.get(end.request());
        Attempt attempt = request == null ? null : request.attempt(end.attempt());
        if (attempt == null) {
            return;
        }
        if (attempt.outstanding) {
            attempt.outstanding = false;
            request.outstanding--;
            attempt.mayHaveRun = !end.outcome().neverRan;
            attempt.countInFlight(request.cost, -1);
            recordOutcome(request, attempt, end, now);
            if (end.outcome() == Outcome.REJECTED) {
                admission.adjust(AdmissionControl.REJECTED_OBJECTIVE_SHARE);
            } else if (!end.outcome().neverRan && !request.request.bodyPending()) {
                double objective = request.requestClass.latencyObjectiveMicros();
                admission.adjust(end.durationMicros() / objective);
            }
        }
        request.ended |= end.concluded();
        if (request.ended) {
            forgetIfDone(request);
        } else if (request.outstanding == 0) {
            retryOrFinish(request, now);
        }
        dispatchQueued(now);
    }

    /** After the last attempt failed: another one or the queue where allowed, else the final response. */
    private void retryOrFinish(RequestState request, long now) {
        boolean timely = now < request.deadline - deadlineMargin;
        boolean mayTry = timely && (!sparseTraffic() || retryPolicy.chargeRetry());
        boolean mayHaveRun = request.firstThatMayHaveRun() != null;
        UpstreamState upstream = mayTry && mayHaveRun ? selectUpstream(request, now, true) : null;
        boolean attemptsLeft = request.attempts.size() < settings.limits().maxAttempts();
        if (upstream != null) {
            send(request, upstream, now);
        } else if (mayTry && !mayHaveRun && attemptsLeft) {
            queue.add(request);
        } else {
            finish(request, now);
        }
    }

    /** The final response to a request that was not served: a rejection where allowed, else a failure. */
    private void finish(RequestState request, long now) {
        if (RetryPolicy.mayReject(request)) {
            actions.reject(request.request.id(), 0);
            admission.recordRejection(request, now);
        } else {
            actions.fail(request.request.id());
        }
        conclude(request);
    }

    private void conclude(RequestState request) {
        queue.remove(request);
        request.ended = true;
        boolean cancels = settings.limits().cancel() && !request.streaming;
        for (int i = 0; i < request.attempts.size(); i++) {
            if (cancels && request.attempts.get(i).outstanding) {
                actions.cancel(request.request.id(), i);
            }
        }
        forgetIfDone(request);
    }

    private void forgetIfDone(RequestState request) {
        if (request.outstanding == 0) {
            requests.remove(request.request.id());
        }
    }

    @Override
    public void responseStarted(long now, String requestId, int attemptNumber) {
        RequestState request = requests.get(requestId);
        Attempt attempt = request == null ? null : request.attempt(attemptNumber);
        if (attempt != null && !request.streaming) {
            request.streaming = true;
            attempt.streaming = true;
            attempt.upstream.openStreams++;
        }
    }

    @Override
    public void clientDisconnected(long now, String requestId) {
        RequestState request = requests.get(requestId);
        if (request != null && !request.ended) {
            conclude(request);
        }
    }

    @Override
    public void requestArrived(long now, Request arrived) {
        RequestState request =
                new RequestState(arrived, settings.classes().get(arrived.classIndex()), requestNumber++, now);
        request.cost = arrived.expectedWork() > 0 ? arrived.expectedWork() : classCost(arrived.classIndex());
        admission.prioritise(request, now);
        boolean hinted = arrived.expectedWork() > 0;
        meanRequestCost = hinted ? MovingAverage.next(meanRequestCost, request.cost, 0.01) : meanClassCost();
        if (!arrived.retry()) {
            requestRate.count(); // retries must not raise the slow-start rate
        }
        classRates.get(arrived.classIndex()).count();
        requests.put(arrived.id(), request);
        byDeadline.add(request);
        boolean late = now >= request.deadline - deadlineMargin;
        if (late || sparseTraffic() && random.nextDouble() >= admission.admittedShare()) {
            finish(request, now);
            return;
        }
        retryPolicy.creditRequest();
        queue.add(request);
        dispatchQueued(now);
    }

    /** Sends queued requests, by priority, as long as upstreams have capacity. */
    private void dispatchQueued(long now) {
        if (queue.isEmpty() || ready.stream().noneMatch(upstream -> hasCapacity(upstream, now))) {
            return; // trying the queue at every event would cost the more the longer it is
        }
        dispatchByAffinity(now);
        int misses = 0;
        for (RequestState request = queue.isEmpty() ? null : queue.first(); request != null && misses < 3; ) {
            UpstreamState upstream = selectUpstream(request, now, false);
            if (upstream != null) {
                send(request, upstream, now);
            } else {
                misses++;
            }
            request = queue.higher(request);
        }
    }

    /** Affinity goes before priority: under overload, requests on cold caches would prolong the overload. */
    private void dispatchByAffinity(long now) {
        if (queue.size() < 2 || !settings.keyAffinity()) {
            return;
        }
        boolean panic = OutlierDetection.isPanic(ready, now);
        for (RequestState request : new ArrayList<>(queue)) {
            UpstreamState upstream = affinityUpstream(request, now);
            if (upstream != null && hasCapacity(upstream, now) && isEligible(upstream, request, now, panic)) {
                send(request, upstream, now);
            }
        }
    }

    /** Rejects queued requests that miss their objective and have no weight when late. */
    private void shedLate(long now) {
        for (RequestState request : new ArrayList<>(queue)) {
            if (now + classResponseTimes[request.request.classIndex()] > request.objectiveAt
                    && request.requestClass.latePriorityWeight() <= 0) {
                finish(request, now);
            }
        }
    }

    private double warmUpFactor(UpstreamState upstream, long now) {
        long age = now - upstream.slowStartBeganAt;
        PlatformRules rules = settings.rules();
        long slowStartTime = rules.slowStartTimeMicros();
        if (upstream.slowStartBeganAt <= 0 || age >= slowStartTime || slowStartTime <= 0) {
            return 1;
        }
        double initial = rules.initialCapacity();
        return initial + (1 - initial) * Math.max(0, age) / slowStartTime;
    }

    /**
     * A slow-starting upstream takes overloadMultiple times its capacity. Each balancer may send its share
     * of that, by its own traffic, unless planners delegate quotas. Pending bodies could end all at once.
     */
    private boolean quotaAllows(UpstreamState upstream, RequestState request, long now) {
        if (warmUpFactor(upstream, now) >= 1) {
            return true;
        }
        refillSlowStart(upstream, now);
        return !request.request.bodyPending() && upstream.slowStart.tokens() >= slowStartCost(request);
    }

    private double slowStartRate(UpstreamState upstream, long now) {
        double rating = rating(upstream);
        double rate = Math.sqrt(admission.admittedShare()) * requestRate.perSecond() / MICROS_PER_SECOND;
        double even = rate * rating / Math.max(ratingSum, rating);
        return SLOW_START_USE * settings.rules().overloadMultiple() * warmUpFactor(upstream, now) * even;
    }

    private void refillSlowStart(UpstreamState upstream, long now) {
        if (warmUpFactor(upstream, now) >= 1) {
            return;
        }
        SlowStartQuota quota = plans.slowStartQuota(upstream.id, upstream.launchedAtMicros());
        long window = settings.rules().overloadWindowMicros();
        double own = slowStartRate(upstream, now);
        long blockedUntil = plans.ownQuotaBlockedUntilMicros();
        upstream.slowStart.refill(now, own, quota, blockedUntil, window, MIN_BUCKET_SIZE);
    }

    /** In mean requests, and one at least: small hints understate. */
    private double slowStartCost(RequestState request) {
        return Math.max(request.cost / meanRequestCost, 1);
    }

    /** The cost of a request without a hint: the response time of its class. */
    private double classCost(int classIndex) {
        double known = classResponseTimes[classIndex] > 0 ? classResponseTimes[classIndex] : meanResponseTime;
        return known > 0 ? known : 1;
    }

    /** Weighted by the classes' rates; a moving average would lag behind them. */
    private double meanClassCost() {
        double cost = 0;
        double rates = 0;
        for (int classIndex = 0; classIndex < classRates.size(); classIndex++) {
            double rate = Math.max(classRates.get(classIndex).perSecond(), MIN_CLASS_RATE);
            cost += rate * classCost(classIndex);
            rates += rate;
        }
        return cost / rates;
    }

    @Override
    public void planUpdated(long now, Plan plan) {
        ready.forEach(upstream -> refillSlowStart(upstream, now));
        plans.update(now, plan);
        plan.upstreams().forEach(view -> apply(now, view));
        ready.forEach(upstream -> refillSlowStart(upstream, now)); // tokens of delegated quotas are forfeited
        applyPlan(now);
        dispatchQueued(now);
    }

    /** A planner can lower what we send, or raise it by grants; it adds no upstream. */
    private void apply(long now, UpstreamView view) {
        UpstreamState upstream = upstreamsById.get(view.id());
        if (upstream == null) {
            return;
        }
        if (view.launchedAtMicros() > upstream.launchedAtMicros()
                && view.launchedAtMicros() <= now + settings.rules().slowStartTimeMicros()) {
            upstream.notifiedLaunchAt = view.launchedAtMicros(); // the endpoint list will follow
            upstream.slowStartBeganAt = launchTimes.slowStartBegan(view.id(), view.launchedAtMicros(), now);
            upstream.slowStart = new SlowStartBucket(0, now);
        }
        upstream.plannedDraining = view.draining();
        upstream.plannedLimit = view.limit();
    }

    /** Turns the plan into factors, which are neutral at strength 0. */
    private void applyPlan(long now) {
        double strength = plans.strength(now);
        double crossZone = settings.prices().crossZone();
        int stopped = 0;
        for (UpstreamState upstream : ready) {
            boolean limited = strength > 0 && upstream.plannedLimit > 0 && upstream.limit > 0;
            double ratio = limited ? upstream.plannedLimit / upstream.limit : 1;
            upstream.limitFactor = limited ? Math.pow(ratio, PLANNED_LIMIT_EXPONENT * strength) : 1;
            double near = strength > 0 ? plans.zoneSpillover(upstream.entry.zone(), settings.zone(), now) : 0;
            upstream.zoneSpillover = near * CROSS_ZONE_WEIGHT * crossZone;
            upstream.plannedDraining &= strength > 0;
            stopped += upstream.plannedDraining ? 1 : 0;
        }
        if (ready.size() - stopped < OutlierDetection.PANIC_THRESHOLD * ready.size()) {
            ready.forEach(each -> each.plannedDraining = false); // implausible: use the endpoint list
        }
    }

    @Override
    public Summary summary(long now) {
        List<UpstreamStatus> statuses = new ArrayList<>(upstreamsById.size());
        for (UpstreamState upstream : upstreamsById.values()) {
            boolean reported = upstream.report != null;
            boolean slowStart = warmUpFactor(upstream, now) < 1 && meanRequestCost > 0;
            statuses.add(new UpstreamStatus(
                    upstream.id,
                    upstream.entry.zone(),
                    upstream.entry.state(),
                    upstream.launchedAtMicros(),
                    upstream.inFlight,
                    upstream.attemptsSent,
                    upstream.weight,
                    upstream.limit,
                    reported ? upstream.report.utilisation() : Double.NaN,
                    reported ? upstream.report.waiting() : Double.NaN,
                    reported ? upstream.reportedAtMicros : 0,
                    OutlierDetection.isEjected(upstream, now) || cordoned.containsKey(upstream.id),
                    slowStart ? slowStartRate(upstream, now) * MICROS_PER_SECOND : 0));
        }
        List<Double> demand = classRates.stream().map(RateEstimator::perSecond).toList();
        return new Summary(demand, statuses, queue.size());
    }

    @Override
    public void timerFired(long now, String token) {
        if (!token.equals("sweep")) {
            return;
        }
        actions.setTimer("sweep", SWEEP_PERIOD_MICROS);
        expireDeadlines(now);
        OutlierDetection.ejectHanging(ready, meanResponseTime, waitTarget, now);
        double strength = plans.strength(now);
        if (strength < 1 && (strength > 0 || planCounted)) {
            applyPlan(now); // at full strength the next plan is soon enough
        }
        planCounted = strength > 0;
        shedLate(now);
        if (now >= nextReweight) {
            long period = jitter(REWEIGHT_PERIOD_MICROS);
            requestRate.endPeriod(period);
            classRates.forEach(rate -> rate.endPeriod(period));
            reweight(now);
            nextReweight = now + period;
        }
        if (now >= resubscribeAt && settings.subscribesToEndpoints()) {
            resubscribeAt = Long.MAX_VALUE;
            actions.watchEndpoints(true);
        }
        checkHealth(now);
        dispatchQueued(now);
    }

    private void expireDeadlines(long now) {
        while (!byDeadline.isEmpty()) {
            RequestState request = byDeadline.peek();
            if (!request.ended && request.deadline - deadlineMargin > now) {
                return;
            }
            byDeadline.poll();
            if (!request.ended && !request.streaming) {
                finish(request, now);
            }
        }
    }

    /** Steady health checks where reports come no other way; their rate follows from price and traffic. */
    private void checkHealth(long now) {
        boolean allowed = settings.reports() == Reports.BY_HEALTH_CHECK
                && settings.limits().healthChecks();
        if (!allowed || now < nextHealthCheck || ready.isEmpty()) {
            return;
        }
        double price = settings.prices().healthCheck();
        double share = price > 0 ? HEALTH_CHECK_POINTS / price : 1;
        double requests = Math.max(requestRate.perSecond(), 1);
        double rate = Math.min(share * requests, ready.size() * MICROS_PER_SECOND / CHECK_INTERVAL_MICROS);
        nextHealthCheck = now + jitter((long) (MICROS_PER_SECOND / rate));
        UpstreamState oldest = Collections.min(ready, Comparator.comparingLong(each -> each.healthCheckedAt));
        oldest.healthCheckedAt = now;
        actions.healthCheck(oldest.id);
    }

    @Override
    public void healthCheckCompleted(long now, String upstreamId, Outcome outcome, LoadReport load) {
        if (outcome == Outcome.OK) {
            recordReport(upstreamId, load, now);
        }
    }

    @Override
    public void peerMessageReceived(long now, int from, byte[] body) {} // nothing is sent to peers
}
