package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** Random legal event sequences against the independent checker, and the checker against planted breaches. */
class InvariantsTest {
    private static final long SECOND = PolicyHarness.SECOND;

    private record Out(String id, int attempt, String upstream, long sentAt, long endsAt, Outcome outcome) {}

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomLegalEventsKeepTheRules(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PolicyHarness.Config config = new PolicyHarness.Config();
        config.secondCopies = seed % 2 == 0;
        config.scope = Scope.values()[(int) (seed % 3)];
        config.warmKeys = seed % 3 == 0;
        config.cancel = seed % 4 != 0;
        PolicyHarness host = PolicyHarness.of(config);
        host.checker = new InvariantRecorder(config.settings(), 1.0);
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            all.add(PolicyHarness.up(i, State.READY, 0));
        }
        host.checker.told(host.now, ListKind.RESTORED, all);
        host.balancer.endpointsUpdated(host.now, ListKind.RESTORED, all);
        List<Out> out = new ArrayList<>();
        int served = 0;
        for (int step = 0; step < 4_000; step++) {
            host.advance(5_000);
            gather(host, random, out);
            served += deliver(host, out);
            if (step < 3_400 && random.nextInt(3) > 0) {
                host.request(
                        random.nextInt(3),
                        200_000 + random.nextLong(1_800_000),
                        "k" + random.nextInt(9),
                        5_000 + random.nextLong(40_000));
                gather(host, random, out);
            }
            if (random.nextInt(150) == 0) {
                change(host, random);
            }
            if (random.nextInt(200) == 0 && !out.isEmpty()) {
                String id = out.get(random.nextInt(out.size())).id;
                host.checker.left(id);
                host.balancer.clientDisconnected(host.now, id);
            }
            gather(host, random, out);
        }
        host.checker.finish(host.now);
        assertEquals(List.of(), host.checker.breaches);
        assertTrue(served > 200, "served " + served);
    }

    private static void gather(PolicyHarness host, SplittableRandom random, List<Out> out) {
        for (String line : host.done) {
            String[] f = line.split(" ");
            if (f[1].equals("send")) {
                int attempt = (int) host.sends.get(f[2]).stream().count() - 1;
                Outcome[] all = Outcome.values();
                Outcome o = random.nextInt(4) > 0 ? Outcome.OK : all[random.nextInt(all.length)];
                out.add(new Out(f[2], attempt, f[3], host.now, host.now + random.nextLong(120_000), o));
            } else if (f[1].equals("cancel")) {
                for (int i = 0; i < out.size(); i++) {
                    Out x = out.get(i);
                    if (x.id.equals(f[2]) && x.attempt == Integer.parseInt(f[3])) {
                        out.set(i, new Out(x.id, x.attempt, x.upstream, x.sentAt, host.now, Outcome.CANCELLED));
                    }
                }
            }
        }
        host.done.clear();
    }

    private static int deliver(PolicyHarness host, List<Out> out) {
        int served = 0;
        for (Out x : new ArrayList<>(out)) {
            if (x.endsAt <= host.now && out.remove(x)) {
                boolean ok = x.outcome == Outcome.OK;
                served += ok ? 1 : 0;
                LoadReport load = ok ? PolicyHarness.report(0.5) : null;
                AttemptEnd end = new AttemptEnd(x.id, x.attempt, x.upstream, x.outcome, host.now - x.sentAt, ok, load);
                host.checker.ended(end);
                host.balancer.attemptEnded(host.now, end);
            }
        }
        return served;
    }

    private static void change(PolicyHarness host, SplittableRandom random) {
        int i = random.nextInt(6);
        int what = random.nextInt(4);
        State state = what == 0 ? State.DRAINING : what == 1 ? State.REMOVED : State.READY;
        Upstream u = PolicyHarness.up(i, state, state == State.READY ? host.now - random.nextLong(SECOND) : 0);
        host.checker.told(host.now, ListKind.CHANGES, List.of(u));
        host.balancer.endpointsUpdated(host.now, ListKind.CHANGES, List.of(u));
    }

    private InvariantRecorder checker() {
        InvariantRecorder c = new InvariantRecorder(new PolicyHarness.Config().settings(), 1.0);
        c.told(
                0,
                ListKind.RESTORED,
                List.of(
                        PolicyHarness.up(0, State.READY, 0),
                        PolicyHarness.up(1, State.READY, 0),
                        PolicyHarness.up(2, State.READY, 10 * SECOND)));
        return c;
    }

    private static Request request(int cls, long work) {
        return new Request("r", cls, 0, null, work, SECOND, false, false);
    }

    private static void caught(InvariantRecorder c, String rule) {
        assertFalse(c.breaches.isEmpty());
        assertTrue(c.breaches.get(0).startsWith(rule), c.breaches.toString());
    }

    @Test
    void checkerCatchesAMissingAnswer() {
        InvariantRecorder c = checker();
        c.arrived(0, request(0, 1));
        c.finish(2 * SECOND);
        caught(c, "1");
    }

    @Test
    void checkerCatchesARepeatedUnsafeRequest() {
        InvariantRecorder c = checker();
        c.arrived(0, request(2, 1));
        c.sent(0, "r", "u0");
        c.ended(new AttemptEnd("r", 0, "u0", Outcome.RESET, 1, false, null));
        c.sent(1, "r", "u0");
        caught(c, "2");
    }

    @Test
    void checkerCatchesAKeyedRepeatInAnotherZone() {
        InvariantRecorder c = checker();
        c.arrived(0, request(1, 1));
        c.sent(0, "r", "u0");
        c.ended(new AttemptEnd("r", 0, "u0", Outcome.TIMEOUT, 1, false, null));
        c.sent(1, "r", "u1");
        caught(c, "2");
    }

    @Test
    void checkerCatchesASendToADrainedUpstream() {
        InvariantRecorder c = checker();
        c.told(0, ListKind.CHANGES, List.of(PolicyHarness.up(0, State.DRAINING, 0)));
        c.arrived(2 * SECOND, request(0, 1));
        c.sent(2 * SECOND, "r", "u0");
        caught(c, "3");
    }

    @Test
    void checkerCatchesAPushedOverUpstream() {
        InvariantRecorder c = checker();
        c.arrived(11 * SECOND, request(0, 5 * SECOND));
        c.sent(11 * SECOND, "r", "u2");
        caught(c, "4");
    }
}
