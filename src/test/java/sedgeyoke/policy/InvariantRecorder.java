package sedgeyoke.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.policy.LoadBalancingPolicy.AttemptEnd;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.ListKind;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.policy.LoadBalancingPolicy.RequestClass;
import sedgeyoke.policy.LoadBalancingPolicy.Scope;
import sedgeyoke.policy.LoadBalancingPolicy.Settings;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.Upstream;

/** The four rules, judged from outside on what was told and what was done; it shares no code with the module. */
final class InvariantRecorder {
    final List<String> breaches = new ArrayList<>();
    private final Settings settings;
    private final double warmWorkPerMicro;
    private final Map<String, Upstream> listed = new HashMap<>();
    private final Map<String, Long> closedAt = new HashMap<>();
    private final Map<String, Case> cases = new HashMap<>();
    private final Map<String, Deque<long[]>> coldSends = new HashMap<>();

    private record Sent(long at, Upstream upstream) {}

    private static final class Case {
        Request request;
        RequestClass cls;
        long deadline;
        boolean over;
        final List<Sent> sent = new ArrayList<>();
        final List<Boolean> out = new ArrayList<>();
        final List<Boolean> ran = new ArrayList<>();
    }

    /** {@code warmWorkPerMicro}: the most that a warm upstream does in this test. */
    InvariantRecorder(Settings settings, double warmWorkPerMicro) {
        this.settings = settings;
        this.warmWorkPerMicro = warmWorkPerMicro;
    }

    void told(long now, ListKind kind, List<Upstream> entries) {
        if (kind == ListKind.COMPLETE || kind == ListKind.RESTORED) {
            for (String id : listed.keySet()) {
                if (entries.stream().noneMatch(e -> e.id().equals(id))) {
                    closedAt.putIfAbsent(id, now);
                }
            }
        }
        for (Upstream e : entries) {
            listed.put(e.id(), e);
            if (e.state() == State.READY) {
                closedAt.remove(e.id());
            } else {
                closedAt.putIfAbsent(e.id(), now);
            }
        }
    }

    void arrived(long now, Request r) {
        Case c = new Case();
        c.request = r;
        c.cls = settings.classes().get(r.classIndex());
        c.deadline = now + r.timeLeft();
        cases.put(r.id(), c);
    }

    void sent(long now, String id, String upstream) {
        Case c = cases.get(id);
        Upstream u = listed.get(upstream);
        if (c.over) {
            breaches.add("1: sent after the end " + id);
        }
        if (!settings.limits().hedging() && c.out.contains(true)) {
            breaches.add("2: two attempts at once " + id);
        }
        int first = c.ran.indexOf(true);
        if (first >= 0 && c.cls.effect() == Effect.UNSAFE) {
            breaches.add("2: unsafe request sent again " + id);
        }
        if (first >= 0 && c.cls.effect() == Effect.IDEMPOTENT_WITH_KEY) {
            Sent s = c.sent.get(first);
            boolean near = c.cls.scope() == Scope.ALL
                    || c.cls.scope() == Scope.ZONE && s.upstream.zone() == u.zone()
                    || c.cls.scope() == Scope.CELL && s.upstream.cell() == u.cell();
            if (!near || now - s.at > c.cls.deduplicationWindow()) {
                breaches.add("2: keyed request sent outside its group or time " + id);
            }
        }
        Long closed = closedAt.get(upstream);
        if (closed != null && now - closed > settings.rules().drainGrace()) {
            breaches.add("3: sent to a drained upstream " + upstream);
        }
        cold(now, u, c.request.expectedWork());
        c.sent.add(new Sent(now, u));
        c.out.add(true);
        c.ran.add(true);
    }

    private void cold(long now, Upstream u, long work) {
        long age = now - u.launchedAt();
        if (u.launchedAt() <= 0 || age >= settings.rules().slowStartTime()) {
            return;
        }
        Deque<long[]> window = coldSends.computeIfAbsent(u.id(), k -> new ArrayDeque<>());
        window.add(new long[] {now, work});
        while (window.peek()[0] < now - settings.rules().overloadWindow()) {
            window.poll();
        }
        double start = settings.rules().initialCapacity();
        double share = start + (1 - start) * age / settings.rules().slowStartTime();
        double budget = settings.rules().overloadMultiple()
                * share
                * warmWorkPerMicro
                * settings.rules().overloadWindow();
        if (window.stream().mapToLong(w -> w[1]).sum() > budget) {
            breaches.add("4: cold upstream pushed over " + u.id());
        }
    }

    void ended(AttemptEnd end) {
        Case c = cases.get(end.request());
        c.out.set(end.attempt(), false);
        c.ran.set(end.attempt(), !end.outcome().neverRan);
        if (end.concluded()) {
            c.over = true;
        }
    }

    void refused(long now, String id) {
        Case c = cases.get(id);
        boolean mayHaveRun = c.ran.contains(true);
        if (mayHaveRun
                && (c.cls.effect() == Effect.UNSAFE
                        || c.cls.effect() == Effect.IDEMPOTENT_WITH_KEY && c.cls.scope() != Scope.ALL)) {
            breaches.add("2: refused though it may have run " + id);
        }
        answered(now, id);
    }

    void failed(long now, String id) {
        answered(now, id);
    }

    private void answered(long now, String id) {
        Case c = cases.get(id);
        if (c.over) {
            breaches.add("1: answered twice " + id);
        }
        c.over = true;
        late(now, id, c);
    }

    void left(String id) {
        cases.get(id).over = true;
    }

    void finish(long now) {
        cases.forEach((id, c) -> {
            if (!c.over) {
                late(now, id, c);
            }
        });
    }

    private void late(long now, String id, Case c) {
        if (now > c.deadline + settings.rules().responseSlack()) {
            breaches.add("1: no answer in time " + id);
        }
    }
}
