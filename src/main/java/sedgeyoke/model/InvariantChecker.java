package sedgeyoke.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What truly happened, as clients, order nodes and discovery saw it, and whether it kept the four rules. All times are
 * microseconds of one clock. Confined to one thread; {@link #summary} may be asked for at its end.
 */
public final class InvariantChecker {
    /** The rules on sockets allow so much more for each time limit. */
    private static final long SOCKET_SLACK = 50_000;

    private static final long ANSWER_SLACK = 20_000 + SOCKET_SLACK;
    private static final int MOST_TEXTS = 20;
    /** How often the judge looks whether it is late itself. */
    public static final long BEAT = 10_000;

    private static final long STALLS_KNOWN_FOR = 30_000_000;

    private final SiteModel site;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Map<String, Long>> closedAt = new HashMap<>();
    private final Map<String, Long> byBalancer = new HashMap<>();
    private final Set<String> dead = new HashSet<>();
    private ArrivalListener arrivalListener = (balancer, node, now) -> {};
    /** Effects by idempotency key: all tries of one want are to have one. */
    private final Map<String, Integer> effectsByKey = new HashMap<>();

    private final List<String> violations = new ArrayList<>();
    private final Map<Integer, Integer> byRule = new TreeMap<>();
    private final Map<String, Integer> answers = new TreeMap<>();
    private long[] latencies = new long[1024];
    private int latencyCount;
    private double asked;
    private double served;
    private long requests;
    private long attempts;
    private double coldPeak;
    /**
     * Times in which the judge itself stood still: from, for how long. What it notes right after is older than that.
     */
    private final Deque<long[]> stalls = new ArrayDeque<>();

    private long lastBeat = Long.MIN_VALUE;
    private long stalled;

    /** Hears of each attempt that reaches a node. */
    public interface ArrivalListener {
        /** {@code now}: microseconds of the site's clock. */
        void arrived(String balancer, String node, long now);
    }

    /** From now on somebody hears of each attempt that reaches a node. */
    public void onArrival(ArrivalListener listener) {
        arrivalListener = listener;
    }

    /** How a client saw its request end. */
    public enum Answer {
        SERVED,
        REFUSED,
        FAILED,
        NONE
    }

    /** One request of a client; a retry is another one. */
    private static final class Entry {
        final RequestClassModel cls;
        final String key;
        final String balancer;
        final long at;
        final long deadline;
        int effects;
        boolean flagged;
        Answer answer;

        Entry(RequestClassModel cls, String key, String balancer, long at, long deadline) {
            this.cls = cls;
            this.key = key;
            this.balancer = balancer;
            this.at = at;
            this.deadline = deadline;
        }
    }

    /**
     * Figures of a run.
     *
     * @param requests what clients asked for, without their retries
     * @param service worth answered within its aim over worth asked for
     * @param p50Ms median time of served answers
     * @param p99Ms 99th percentile of it
     * @param attempts requests that reached order nodes
     * @param answers final answers by kind
     * @param violations how often each rule was broken
     * @param coldPeak the most that a cold node was sent, as a share of what makes it fall over
     */
    public record Summary(
            long requests,
            double service,
            double p50Ms,
            double p99Ms,
            long attempts,
            Map<String, Integer> answers,
            Map<Integer, Integer> violations,
            double coldPeak) {
        /** Rules broken, of all kinds. */
        public int ruleViolations() {
            return violations.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /** Nothing has happened yet. */
    public InvariantChecker(SiteModel site) {
        this.site = site;
    }

    private void violation(int rule, String text) {
        byRule.merge(rule, 1, Integer::sum);
        if (violations.size() < MOST_TEXTS) {
            violations.add("rule " + rule + ": " + text);
        }
    }

    /** What was broken, in words; the first twenty. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /**
     * The judge's own pulse, due every {@link #BEAT}. Clients, nodes and discovery live on one loop; while that does
     * not
     * get to run, nothing that reaches them is noted, and no balancer must be blamed for it.
     */
    public void beat(long now) {
        long late = lastBeat == Long.MIN_VALUE ? 0 : now - lastBeat - BEAT;
        lastBeat = now;
        if (late > BEAT) {
            stalls.add(new long[] {now - late, late});
            stalled += late;
        }
        while (!stalls.isEmpty() && stalls.peek()[0] < now - STALLS_KNOWN_FOR) {
            stalls.poll();
        }
    }

    /** How long the judge stood still between a time and now. */
    private long stalledSince(long from) {
        long sum = 0;
        for (long[] stall : stalls) {
            sum += stall[0] + stall[1] > from ? stall[1] : 0;
        }
        return sum;
    }

    /** How long the judge stood still in all, in milliseconds: figures of a run with much of that say little. */
    public double stalledMs() {
        return stalled / 1e3;
    }

    // ---- Clients -------------------------------------------------------------------------------------

    /** Something is wanted; its retries count as part of it. */
    public void wanted(RequestClassModel cls) {
        requests++;
        asked += cls.worth();
    }

    /** A request goes to a balancer; {@code key} is its idempotency key, or null. */
    public void asked(String id, RequestClassModel cls, String key, String balancer, long now, long deadline) {
        entries.put(id, new Entry(cls, key, balancer, now, deadline));
        byBalancer.merge(balancer, 1L, Long::sum);
    }

    /** No connection came up for it: nobody was asked. */
    public void unreached(String id) {
        byBalancer.merge(entries.remove(id).balancer, -1L, Long::sum);
    }

    /** Its answer is whole; {@code firstAsked} is when the client first wanted it. */
    public void answered(String id, Answer answer, boolean bodyFits, long firstAsked, long now) {
        Entry e = entries.get(id);
        if (e.answer != null) {
            violation(1, id + " answered twice");
            return;
        }
        e.answer = answer;
        answers.merge(answer.name().toLowerCase(Locale.ROOT), 1, Integer::sum);
        if (now > e.deadline + ANSWER_SLACK + stalledSince(e.at)) {
            violation(1, id + " answered " + (now - e.deadline) / 1_000 + " ms too late by " + e.balancer);
        }
        if (answer != Answer.SERVED) {
            return;
        }
        if (!bodyFits) {
            violation(1, id + " served with what no order node made for it");
        }
        long took = now - firstAsked;
        if (took <= e.cls.aimMs() * 1_000L) {
            served += e.cls.worth();
        }
        if (latencyCount == latencies.length) {
            latencies = Arrays.copyOf(latencies, 2 * latencyCount);
        }
        latencies[latencyCount++] = took;
    }

    /** The connection ended without an answer. */
    public void unanswered(String id, long now) {
        Entry e = entries.get(id);
        if (e.answer == null) {
            e.answer = Answer.NONE;
            answers.merge("none", 1, Integer::sum);
            if (!dead.contains(e.balancer)) {
                violation(1, id + " lost by " + e.balancer + " after " + (now - e.at) / 1_000 + " ms");
            }
        }
    }

    /** A balancer was killed: what it held is its clients' to retry. */
    public void died(String balancer) {
        dead.add(balancer);
    }

    /** Whether it was killed and is not back. */
    public boolean isDead(String balancer) {
        return dead.contains(balancer);
    }

    /** It is back. */
    public void back(String balancer) {
        dead.remove(balancer);
    }

    // ---- Discovery -----------------------------------------------------------------------------------

    /** Discovery has written to a balancer what a node's state is. */
    public void told(String balancer, String node, boolean ready, long now) {
        Map<String, Long> closed = closedAt.computeIfAbsent(balancer, b -> new HashMap<>());
        if (ready) {
            closed.remove(node);
        } else {
            closed.putIfAbsent(node, now);
        }
    }

    // ---- Order nodes ---------------------------------------------------------------------------------

    /** The last byte of an attempt has reached a node; null if no client sent such a request. */
    public RequestClassModel arrived(String id, String node, long now) {
        Entry e = entries.get(id);
        attempts++;
        if (e == null) {
            violation(2, "an unknown request at " + node + ": " + id);
            return null;
        }
        if (e.answer != null && e.answer != Answer.NONE && now > e.deadline + ANSWER_SLACK + stalledSince(e.at)) {
            violation(1, id + " sent to " + node + " long after its answer");
        }
        arrivalListener.arrived(e.balancer, node, now);
        Long closed = closedAt.getOrDefault(e.balancer, Map.of()).get(node);
        long grace = site.rules().drainGraceMs() * 1_000 + SOCKET_SLACK;
        if (closed != null && now - closed > grace + stalledSince(closed)) {
            violation(
                    3,
                    id + " sent to " + node + " " + (now - closed) / 1_000 + " ms after " + e.balancer + " was told");
        }
        return e.cls;
    }

    /** It has run with an effect. */
    public void ran(String id, String node) {
        Entry e = entries.get(id);
        e.effects++;
        int ofKey = e.key == null ? 0 : effectsByKey.merge(e.key, 1, Integer::sum);
        if (e.effects > 1 && !e.cls.repeat().equals("free")) {
            violation(2, id + " took effect again at " + node);
        } else if (ofKey > 1) {
            violation(2, id + " took effect at " + node + " after another try of " + e.key + " had");
        }
        if (e.answer == Answer.REFUSED && !e.cls.repeat().equals("free")) {
            e.flagged = true;
            violation(2, id + " refused, and ran at " + node);
        }
    }

    /** How much a cold node was sent in the last window, as a share of what makes it fall over. */
    public void coldLoad(double share) {
        coldPeak = Math.max(coldPeak, share);
    }

    /** A cold node has fallen over. */
    public void fell(String node) {
        violation(4, node + " was pushed over");
    }

    // ---- Figures -------------------------------------------------------------------------------------

    /** What was refused must not have run; checked at the end too, as an answer may overtake its own run. */
    public Summary summary() {
        Map<Integer, Integer> rules = new TreeMap<>(byRule);
        long refusedAfterRun = entries.values().stream()
                .filter(e -> e.answer == Answer.REFUSED
                        && e.effects > 0
                        && !e.flagged
                        && !e.cls.repeat().equals("free"))
                .count();
        if (refusedAfterRun > 0) {
            rules.merge(2, (int) refusedAfterRun, Integer::sum);
        }
        long[] sorted = Arrays.copyOf(latencies, latencyCount);
        Arrays.sort(sorted);
        return new Summary(
                requests,
                asked == 0 ? 1 : served / asked,
                percentile(sorted, 0.5),
                percentile(sorted, 0.99),
                attempts,
                new TreeMap<>(answers),
                rules,
                coldPeak);
    }

    private static double percentile(long[] sorted, double share) {
        return sorted.length == 0 ? 0 : sorted[(int) (share * (sorted.length - 1))] / 1e3;
    }

    /** Requests that a balancer was asked so far; on the loop. */
    public long askedOf(String balancer) {
        return byBalancer.getOrDefault(balancer, 0L);
    }

    /** Requests that a client still waits for. */
    public long open() {
        return entries.values().stream().filter(e -> e.answer == null).count();
    }
}
