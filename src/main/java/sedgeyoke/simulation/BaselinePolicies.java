package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.Actions;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.UtilizationWeightedPolicy;

/**
 * Who may decide in a run: our own module, and policies from their published descriptions to compare it with. These
 * live
 * here and never in the product's path.
 */
public final class BaselinePolicies {
    /** Our own. */
    public static final String OURS = "sedgeyoke";

    private static final Map<String, Maker> MAKERS = new LinkedHashMap<>();

    static {
        MAKERS.put(OURS, (settings, seed, out, fleet) -> new UtilizationWeightedPolicy(settings, seed, out));
        MAKERS.put("random", (settings, seed, out, fleet) -> new RandomChoice(settings, seed, out));
        MAKERS.put("round-robin", (settings, seed, out, fleet) -> new RoundRobin(settings, seed, out));
        MAKERS.put("two-choices", (settings, seed, out, fleet) -> new TwoChoices(settings, seed, out));
        MAKERS.put("envoy-least-request", (settings, seed, out, fleet) -> new EnvoyLeastRequest(settings, out));
        MAKERS.put("shortest-queue", (settings, seed, out, fleet) -> new ShortestQueue(settings, seed, out));
        MAKERS.put("prequal", (settings, seed, out, fleet) -> new Prequal(settings, seed, out));
        MAKERS.put("oracle", (settings, seed, out, fleet) -> new Oracle(settings, seed, out, fleet));
    }

    private BaselinePolicies() {}

    /** Makes a policy for one balancer. */
    interface Maker {
        LoadBalancingPolicy make(Settings settings, long seed, Actions out, SimulatedUpstreams fleet);
    }

    /** All names. */
    public static Set<String> names() {
        return MAKERS.keySet();
    }

    static Maker maker(String name) {
        Maker maker = MAKERS.get(name);
        if (maker == null) {
            throw new IllegalArgumentException("no policy is named " + name + "; there are " + names());
        }
        return maker;
    }

    /** Any, evenly. */
    private static final class RandomChoice extends BaselinePolicy {
        private final SplittableRandom random;

        RandomChoice(Settings settings, long seed, Actions out) {
            super(settings, out);
            this.random = new SplittableRandom(seed);
        }

        @Override
        Up choose(long now, List<Up> from) {
            return from.get(random.nextInt(from.size()));
        }
    }

    /** Each in turn, from a random place on. */
    private static final class RoundRobin extends BaselinePolicy {
        private int next;

        RoundRobin(Settings settings, long seed, Actions out) {
            super(settings, out);
            this.next = new SplittableRandom(seed).nextInt(1 << 16);
        }

        @Override
        Up choose(long now, List<Up> from) {
            return from.get(Math.floorMod(next++, from.size()));
        }
    }

    /**
     * The one of two random ones with fewer requests of our own in flight. M. Mitzenmacher, "The Power of Two Choices
     * in
     * Randomized Load Balancing", IEEE Transactions on Parallel and Distributed Systems 12(10), 2001.
     */
    private static final class TwoChoices extends BaselinePolicy {
        private final SplittableRandom random;

        TwoChoices(Settings settings, long seed, Actions out) {
            super(settings, out);
            this.random = new SplittableRandom(seed);
        }

        @Override
        Up choose(long now, List<Up> from) {
            Up a = from.get(random.nextInt(from.size()));
            Up b = from.get(random.nextInt(from.size()));
            return b.inFlight < a.inFlight ? b : a;
        }
    }

    /**
     * Envoy's weighted least request where weights differ: earliest deadline first by weight / (active + 1)^bias,
     * bias 1
     * (Envoy documentation, "Supported load balancers", section "Weighted least request"). The order is kept as smooth
     * weighted round robin. Nodes' cores stand for the weights that an operator would set by hand.
     */
    private static final class EnvoyLeastRequest extends BaselinePolicy {
        EnvoyLeastRequest(Settings settings, Actions out) {
            super(settings, out);
        }

        @Override
        Up choose(long now, List<Up> from) {
            double sum = 0;
            Up best = null;
            for (Up up : from) {
                double weight = 1.0 / (up.inFlight + 1);
                sum += weight;
                up.current += weight;
                best = best == null || up.current > best.current ? up : best;
            }
            best.current -= sum;
            return best;
        }
    }

    /** The fewest of our own in flight, ties at random: join the shortest queue as far as one balancer can see it. */
    private static final class ShortestQueue extends BaselinePolicy {
        private final SplittableRandom random;

        ShortestQueue(Settings settings, long seed, Actions out) {
            super(settings, out);
            this.random = new SplittableRandom(seed);
        }

        @Override
        Up choose(long now, List<Up> from) {
            Up best = null;
            int ties = 0;
            for (Up up : from) {
                if (best == null || up.inFlight < best.inFlight) {
                    best = up;
                    ties = 1;
                } else if (up.inFlight == best.inFlight && random.nextInt(++ties) == 0) {
                    best = up;
                }
            }
            return best;
        }
    }

    /**
     * Prequal's asynchronous probing with the hot-cold lexicographic rule: of the probes in a small pool, those with
     * requests in flight above a quantile are hot; the cold one with the least latency is taken, or of hot ones alone
     * the
     * one with the fewest in flight. B. Wydrowski and others, "Load is not what you should balance: Introducing
     * Prequal",
     * NSDI 2024, sections 3 and 4 (pool of 16, three probes a request, quantile 0.84, probes live for a second and are
     * used a few times).
     */
    private static final class Prequal extends BaselinePolicy {
        private static final int POOL = 16;
        private static final int PROBES = 3;
        private static final double HOT = 0.84;
        private static final long LIVES = 1_000_000;
        private static final int USES = 3;
        private static final int REMEMBERED = 128;

        private final SplittableRandom random;
        private final List<Probe> pool = new ArrayList<>();
        private final double[] crowds = new double[REMEMBERED];
        private int crowdCount;

        private static final class Probe {
            final Up up;
            final long at;
            double crowd;
            final double latency;
            int uses;

            Probe(Up up, long at, double crowd, double latency) {
                this.up = up;
                this.at = at;
                this.crowd = crowd;
                this.latency = latency;
            }
        }

        Prequal(Settings settings, long seed, Actions out) {
            super(settings, out);
            this.random = new SplittableRandom(seed);
        }

        @Override
        void asked(long now, List<Up> among) {
            for (int i = 0; i < PROBES && !among.isEmpty(); i++) {
                out.healthCheck(among.get(random.nextInt(among.size())).id);
            }
        }

        @Override
        void seen(long now, Up up, LoadReport load, long took) {
            if (took >= 0 || load == null) {
                return; // only probes fill the pool
            }
            if (pool.size() == POOL) {
                pool.remove(0);
            }
            pool.add(new Probe(up, now, load.active(), load.serviceTime() * (1 + load.active())));
            crowds[crowdCount++ % REMEMBERED] = load.active();
        }

        @Override
        Up choose(long now, List<Up> from) {
            pool.removeIf(p -> now - p.at > LIVES || p.uses >= USES);
            int known = Math.min(crowdCount, REMEMBERED);
            double[] sorted = java.util.Arrays.copyOf(crowds, known);
            java.util.Arrays.sort(sorted);
            double hot = known == 0 ? Double.POSITIVE_INFINITY : sorted[(int) (HOT * (known - 1))];
            Probe best = null;
            for (Probe p : pool) {
                if (from.contains(p.up) && (best == null || better(p, best, hot))) {
                    best = p;
                }
            }
            if (best == null) {
                return from.get(random.nextInt(from.size()));
            }
            best.uses++;
            best.crowd++; // what is sent there now
            return best.up;
        }

        private static boolean better(Probe a, Probe b, double hot) {
            boolean aHot = a.crowd > hot;
            boolean bHot = b.crowd > hot;
            return aHot != bHot ? bHot : aHot ? a.crowd < b.crowd : a.latency < b.latency;
        }
    }

    /**
     * Sees the true state of every node at once, and takes the one that would be done soonest; ties at random. Nobody
     * can
     * have that: it shows how much there is to gain.
     */
    private static final class Oracle extends BaselinePolicy {
        private final SplittableRandom random;
        private final SimulatedUpstreams fleet;
        private final Map<String, Double> order = new HashMap<>();

        Oracle(Settings settings, long seed, Actions out, SimulatedUpstreams fleet) {
            super(settings, out);
            this.random = new SplittableRandom(seed);
            this.fleet = fleet;
        }

        @Override
        Up choose(long now, List<Up> from) {
            order.clear();
            for (Up up : from) {
                SimulatedUpstream m = fleet.byId(up.id);
                boolean serves = m != null && !m.gone && m.model.serves();
                double waits = serves
                        ? Math.max(0, m.model.inFlight() + 1 - m.model.spec().cores())
                        : 0;
                order.put(
                        up.id,
                        serves
                                ? (waits + m.model.spec().cores()) / m.model.speedNow() + 1e-9 * random.nextDouble()
                                : Double.MAX_VALUE);
            }
            return from.stream()
                    .min(Comparator.comparingDouble(u -> order.get(u.id)))
                    .orElseThrow();
        }
    }
}
