package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamStatus;

/** Attempts at their client's pace: they take a connection of an upstream, and none of its work. */
class TransfersTest {
    private static final long SECOND = PolicyHarness.SECOND;

    private static PolicyHarness host(int upstreams) {
        PolicyHarness.Config config = new PolicyHarness.Config();
        config.probes = false;
        return PolicyHarness.of(config).list(upstreams);
    }

    private static String coming(PolicyHarness h, String id) {
        h.balancer.requestArrived(h.now, new Request(id, 2, 0, null, 0, 100 * SECOND, true, false, true));
        return id;
    }

    private static void begin(PolicyHarness h, String id) {
        h.balancer.responseStarted(h.now, id, 0);
        h.balancer.transferStarted(h.now, id, 0);
    }

    private static int inFlight(PolicyHarness h) {
        return h.balancer.summary(h.now).upstreams().stream()
                .mapToInt(UpstreamStatus::inFlight)
                .sum();
    }

    @Test
    void fiftyTransfersLeaveRoomForWorkOnOneUpstream() {
        PolicyHarness h = host(1);
        for (int i = 0; i < 50; i++) {
            String id = coming(h, "t" + i);
            assertNotNull(h.lastUpstream(id), "transfer " + i + " has to wait");
            begin(h, id);
        }
        assertEquals(0, inFlight(h));
        assertNotNull(h.lastUpstream(h.request(0, SECOND)));
    }

    /** The same without a word on their pace: the first limit lets three in, as it does for work. */
    @Test
    void withoutTheirPaceTheyCountAsWork() {
        PolicyHarness h = host(1);
        int sent = 0;
        for (int i = 0; i < 50; i++) {
            sent += h.lastUpstream(coming(h, "t" + i)) != null ? 1 : 0;
        }
        assertEquals(3, sent);
    }

    @Test
    void anAnswerThatHasBegunMakesRoom() {
        PolicyHarness h = host(1);
        for (int i = 0; i < 3; i++) {
            h.request(0, SECOND);
        }
        assertEquals(3, inFlight(h));
        String waits = h.request(0, SECOND);
        assertNull(h.lastUpstream(waits));
        h.balancer.transferStarted(h.now, "r0", 0);
        assertNotNull(h.lastUpstream(waits));
    }

    /** After its last byte too: how long that took says more of buffers on the way than of the upstream. */
    @Test
    void transfersTeachNothingAboutTheTimeOfWork() {
        PolicyHarness slow = host(1);
        PolicyHarness none = host(1);
        for (PolicyHarness h : List.of(slow, none)) {
            for (int i = 0; i < 200; i++) {
                h.serve(0, 5_000, u -> 0.5);
            }
        }
        for (int i = 0; i < 20; i++) {
            begin(slow, coming(slow, "t" + i));
            slow.advance(30_000_000);
            none.advance(30_000_000);
            slow.balancer.attemptEnded(
                    slow.now,
                    new AttemptEnd(
                            "t" + i, 0, "u0", i % 2 == 0 ? Outcome.OK : Outcome.TIMEOUT, 29_000_000, true, null));
        }
        assertEquals(
                none.balancer.summary(none.now).upstreams().get(0).limit(),
                slow.balancer.summary(slow.now).upstreams().get(0).limit());
    }

    @Test
    void anUpstreamThatHoldsATransferDoesNotHang() {
        PolicyHarness h = host(2);
        begin(h, coming(h, "t"));
        h.advance(60 * SECOND);
        assertTrue(h.balancer.summary(h.now).upstreams().stream().noneMatch(UpstreamStatus::ejected));
    }

    /** Its work would arrive whenever its client is done, and many at once at worst: no budget covers that. */
    @Test
    void aBodyThatIsStillComingDoesNotGoToAColdUpstream() {
        PolicyHarness h = host(2);
        for (int i = 0; i < 400; i++) {
            h.serve(0, 5_000, u -> 0.5);
        }
        h.change(PolicyHarness.up(1, State.READY, h.now));
        h.advance(2 * SECOND);
        for (int i = 0; i < 30; i++) {
            begin(h, coming(h, "t" + i));
            assertEquals("u0", h.lastUpstream("t" + i));
        }
        h.advance(20 * SECOND);
        for (int i = 30; i < 90; i++) {
            begin(h, coming(h, "t" + i));
        }
        assertTrue(h.perUpstream.get("u1") > 10, "warm again: " + h.perUpstream);
    }

    /** Every way in which an attempt can change its pace and end, against a count of our own. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nothingIsLeftBehind(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        PolicyHarness h = host(4);
        Map<String, Boolean> atWork = new HashMap<>();
        List<String> ids = new ArrayList<>();
        for (int step = 0; step < 3_000; step++) {
            h.advance(random.nextInt(3_000));
            String id = ids.isEmpty() ? null : ids.get(random.nextInt(ids.size()));
            switch (random.nextInt(6)) {
                case 0 -> {
                    String fresh = coming(h, "t" + step);
                    if (h.lastUpstream(fresh) != null) {
                        atWork.put(fresh, true);
                        ids.add(fresh);
                    }
                }
                case 1, 2 -> transfer(h, id, atWork);
                case 3 -> {
                    if (id != null) {
                        h.balancer.responseStarted(h.now, id, 0);
                    }
                }
                case 4 -> {
                    if (id != null && random.nextBoolean()) {
                        h.balancer.clientDisconnected(h.now, id);
                    }
                }
                default -> end(h, id, random.nextBoolean() ? Outcome.OK : Outcome.RESET, atWork, ids);
            }
            found(h, atWork, ids);
            assertEquals(atWork.values().stream().filter(w -> w != null && w).count(), inFlight(h), "step " + step);
        }
        while (!ids.isEmpty()) {
            end(h, ids.get(0), Outcome.OK, atWork, ids);
            found(h, atWork, ids);
        }
        h.advance(200 * SECOND);
        assertEquals(0, inFlight(h));
    }

    /** What was held may have found its place. */
    private static void found(PolicyHarness h, Map<String, Boolean> atWork, List<String> ids) {
        h.sends.keySet().forEach(request -> {
            if (!atWork.containsKey(request)) {
                atWork.put(request, true);
                ids.add(request);
            }
        });
    }

    private static void transfer(PolicyHarness h, String id, Map<String, Boolean> atWork) {
        if (id != null) {
            h.balancer.transferStarted(h.now, id, 0);
            atWork.put(id, false);
        }
    }

    private static void end(
            PolicyHarness h, String id, Outcome outcome, Map<String, Boolean> atWork, List<String> ids) {
        if (id != null) {
            h.balancer.attemptEnded(h.now, new AttemptEnd(id, 0, h.sends.get(id).get(0), outcome, 10_000, true, null));
            h.balancer.transferStarted(h.now, id, 0); // late, and of no effect
            atWork.put(id, null);
            ids.remove(id);
        }
    }
}
