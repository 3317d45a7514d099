package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Test;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.State;

/** Traffic of upstreams in slow start. */
class SlowStartTest {
    private static final long SECOND = PolicyHarness.SECOND;
    private static final long MILLI = PolicyHarness.MILLI;
    private final PolicyHarness.Config config = new PolicyHarness.Config();

    @Test
    void aSlowStartingUpstreamGetsALittleTraffic() {
        PolicyHarness h = PolicyHarness.of(config).list(3);
        for (int i = 0; i < 500; i++) {
            h.serve(0, 10 * MILLI, u -> 0.6);
        }
        h.change(PolicyHarness.up(0, State.READY, h.now - MILLI));
        h.perUpstream.clear();
        for (int i = 0; i < 500; i++) {
            h.serve(0, 10 * MILLI, u -> 0.6);
        }
        assertTrue(h.attemptsAt("u0") > 0 && h.attemptsAt("u0") < 60, h.perUpstream.toString());
    }

    /**
     * Six in ten replaced: the new ones got nothing until they were warm. What a mean request costs lagged behind
     * what each costs, so that nearly all were dearer than a bucket may hold, and buckets began in debt.
     */
    @Test
    void itGetsItsPartOfSparseTrafficFromTheStart() {
        assertTrue(slowStartShare(i -> null, false) > 0.05);
    }

    /** Then keys went home to warm ones that were full, while what the cold ones were due ran over and was lost. */
    @Test
    void itGetsItsPartAlsoWhereKeysHaveOtherAffinityUpstreams() {
        double share = slowStartShare(i -> "key" + i % 7, false);
        assertTrue(share > 0.09, "share " + share);
    }

    /** While seven in ten balancers were down, clients came again and again, and cold ones got twice their part. */
    @Test
    void retriesOfClientsDoNotRaiseTheSlowStartRate() {
        double first = slowStartShare(i -> "key" + i % 7, false);
        double again = slowStartShare(i -> "key" + i % 7, true);
        assertTrue(again < 0.7 * first, again + " and " + first);
    }

    /** What the cold half of the upstreams gets of requests with such keys, three in four perhaps tried again. */
    private double slowStartShare(IntFunction<String> key, boolean again) {
        config.group = 300;
        config.warmKeys = true;
        int cold = 0;
        int all = 0;
        for (int seed = 0; seed < 60; seed++) {
            PolicyHarness h = PolicyHarness.of(config);
            h.balancer = new UtilizationWeightedPolicy(h.settings(), seed, h);
            h.balancer.start(h.now);
            h.list(10);
            for (int i = 0; i < 60; i++) {
                if (i == 20) {
                    for (int u = 5; u < 10; u++) {
                        h.change(PolicyHarness.up(u, State.READY, h.now));
                    }
                    h.perUpstream.clear();
                }
                h.again = again && i % 4 > 0;
                String id = h.request(i % 2, 2 * SECOND, key.apply(i), 0);
                h.advance(50 * MILLI);
                h.end(id, Outcome.OK, (i % 2 + 1) * 50 * MILLI, PolicyHarness.report(0.5));
            }
            cold += h.perUpstream.entrySet().stream()
                    .filter(e -> e.getKey().charAt(1) >= '5')
                    .mapToInt(Map.Entry::getValue)
                    .sum();
            all += h.perUpstream.values().stream().mapToInt(Integer::intValue).sum();
        }
        assertTrue(cold < all / 3, cold + " of " + all);
        return cold / (double) all;
    }

    /** Incident i618e92: small hints passed the bucket one by one, and their true work pushed the server over. */
    @Test
    void aSmallHintCostsAMeanRequest() {
        int[] sent = new int[2];
        for (int small = 0; small < 2; small++) {
            PolicyHarness h = PolicyHarness.of(config).list(3);
            for (int i = 0; i < 500; i++) {
                h.serve(0, 10 * MILLI, u -> 0.6);
            }
            h.change(PolicyHarness.up(0, State.READY, h.now - MILLI));
            h.change(PolicyHarness.up(1, State.REMOVED, 0));
            h.change(PolicyHarness.up(2, State.REMOVED, 0));
            h.sends.clear();
            Set<String> ended = new HashSet<>();
            for (int i = 0; i < 60; i++) {
                h.request(0, 2 * SECOND, null, small == 0 ? 20 * MILLI : 2 * MILLI);
                h.advance(20 * MILLI);
                for (String id : List.copyOf(h.sends.keySet())) {
                    if (h.lastUpstream(id).equals("u0") && ended.add(id)) {
                        h.end(id, Outcome.OK, 10 * MILLI, PolicyHarness.report(0.6));
                    }
                }
            }
            sent[small] = ended.size();
        }
        assertTrue(sent[0] > 0 && sent[1] > 0 && sent[1] <= 2 * sent[0], sent[0] + " " + sent[1]);
    }

    @Test
    void requestsAreAnsweredInTimeWhenAllUpstreamsStartSlowly() {
        PolicyHarness h = PolicyHarness.of(config);
        h.balancer.endpointsUpdated(h.now, ListKind.RESTORED, List.of(PolicyHarness.up(0, State.READY, h.now - MILLI)));
        for (int i = 0; i < 20; i++) {
            h.request(0, SECOND);
        }
        h.advance(2 * SECOND);
        int sent = h.sends.size();
        assertTrue(sent < 20);
        assertEquals(20, h.refused.size(), "all answered: none was served by this test's upstream");
    }
}
