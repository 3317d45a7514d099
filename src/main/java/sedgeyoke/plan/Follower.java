package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.policy.LoadBalancingPolicy;
import sedgeyoke.policy.LoadBalancingPolicy.ColdGrant;
import sedgeyoke.policy.LoadBalancingPolicy.ColdRight;
import sedgeyoke.policy.LoadBalancingPolicy.Standing;
import sedgeyoke.policy.LoadBalancingPolicy.State;
import sedgeyoke.policy.LoadBalancingPolicy.UpstreamView;

/**
 * The forwarder's side. It reports to every planner, follows one of them, lends that one its rights on cold upstreams
 * while it answers, and uses what any planner grants. What it lends it keeps off until the lease has run out by its
 * own clock, whatever it hears meanwhile: a planner that it no longer hears may have passed the right on.
 */
public class Follower {
    /** A planner that was not heard for so long is not followed. */
    static final long FOLLOW_WITHIN = 1_000_000;
    /** Planners that are not followed must know enough to be followed at once, and no more. */
    private static final long STANDBY_EVERY = 500_000;
    /** Another planner must cover so much more of the tier to be followed instead of one that is still heard. */
    private static final double CLEARLY_MORE = 1.1;
    /** A view that was not renewed for so long is dropped. */
    private static final long VIEW_WITHIN = 5_000_000;

    private static final int MOST_VIEWS = 20_000;
    /** A deposit is worth something only if most of its lease is left when it gets to the planner. */
    private static final int ECHO_SHARE = 3;

    private final Identity self;
    private final LeaseClock terms;
    private final long quietUntil;
    private final Map<String, Heard> planners = new TreeMap<>();
    private final Map<String, Lent> lent = new HashMap<>();
    private final Map<String, Long> standbyAt = new HashMap<>();
    private final Map<String, View> views = new LinkedHashMap<>();
    private String leader;
    private long fadeTime;
    private long sequence;
    private final RotatingBatch turn = new RotatingBatch();

    /**
     * Who this forwarder is.
     *
     * @param name the same after a restart
     * @param incarnation no other process has the same
     * @param zone its zone
     * @param lease how long it lends, in microseconds
     * @param fadeTime how long a plan takes to fade out, in microseconds
     * @param leastGrant the smallest grant that it can use, in mean requests a second
     */
    public record Identity(String name, long incarnation, int zone, long lease, long fadeTime, double leastGrant) {}

    /** A planner's last message and when it came. */
    private record Heard(PlanMessage message, long at) {}

    /** Our right on an upstream, to which process of which planner it is lent, and until when by our clock. */
    record Lent(String planner, long incarnation, long until) {}

    /** A view and when it came. */
    private record View(PlanMessage.View view, long at) {}

    /** Starts at {@code now}; until a lease from then it uses none of its own rights on cold upstreams. */
    public Follower(Identity self, LeaseClock terms, long now) {
        this.self = self;
        this.fadeTime = self.fadeTime();
        this.terms = terms;
        this.quietUntil = terms.startupQuietUntil(now, self.lease());
    }

    /** From now on plans fade out over that time, in microseconds. */
    public void fadeTime(long time) {
        fadeTime = time;
    }

    // ---- Reports -------------------------------------------------------------------------------------

    /** Whether it is time to report to a planner: always to the one that is followed, to the others now and then. */
    public boolean due(long now, String planner) {
        boolean due = planner.equals(follow(now)) || now >= standbyAt.getOrDefault(planner, Long.MIN_VALUE);
        if (due) {
            standbyAt.put(planner, now + STANDBY_EVERY);
        }
        return due;
    }

    /**
     * The report for one planner. If that is the one that is followed, rights on cold upstreams are lent with it:
     * the caller must give the module {@link #plan} before it sends the report.
     */
    public ForwarderReport report(long now, String planner, LoadBalancingPolicy.Summary summary) {
        Heard heard = planners.get(planner);
        ForwarderReport.Stamp echo = heard == null
                ? ForwarderReport.Stamp.NONE
                : new ForwarderReport.Stamp(
                        heard.message().incarnation(), heard.message().sentAt());
        List<ForwarderReport.Deposit> deposits = new ArrayList<>();
        if (heard != null && planner.equals(follow(now)) && now - heard.at() <= self.lease() / ECHO_SHARE) {
            for (Standing s : summary.upstreams()) {
                boolean cold = s.coldRight() > 0 && s.state() == State.READY;
                if (cold && deposits.size() < ForwarderReport.MOST_DEPOSITS && lend(now, s.id(), heard.message())) {
                    deposits.add(new ForwarderReport.Deposit(s.id(), s.launchedAt(), s.coldRight()));
                }
            }
        }
        return new ForwarderReport(
                self.name(),
                self.incarnation(),
                ++sequence,
                now,
                echo,
                self.zone(),
                self.lease(),
                self.leastGrant(),
                summary.demand(),
                loads(now, summary.upstreams()),
                deposits);
    }

    /** Whether our right may be lent to a planner's process: another one may have passed it on already. */
    private boolean lend(long now, String upstream, PlanMessage to) {
        Lent before = lent.get(upstream);
        boolean ours = mayLend(now) && (before == null || before.until() <= now || lentTo(before, to));
        if (ours) {
            lent.put(upstream, new Lent(to.planner(), to.incarnation(), terms.reservedUntil(now, self.lease())));
        }
        return ours;
    }

    /** A process that has just started cannot tell to whom the one before has lent the same right. */
    boolean mayLend(long now) {
        return now >= quietUntil;
    }

    /** Whether that is the process that our right was lent to. */
    boolean lentTo(Lent before, PlanMessage to) {
        return before.planner().equals(to.planner()) && before.incarnation() == to.incarnation();
    }

    private List<ForwarderReport.Load> loads(long now, List<Standing> all) {
        List<ForwarderReport.Load> loads = new ArrayList<>();
        for (Standing s : turn.take(all, ForwarderReport.MOST_LOADS)) {
            loads.add(new ForwarderReport.Load(
                    s.id(),
                    s.zone(),
                    s.state() == State.DRAINING,
                    s.launchedAt(),
                    s.inFlight(),
                    s.sent(),
                    s.limit(),
                    s.utilisation(),
                    s.waiting(),
                    s.reportedAt() > 0 ? Math.max(0, now - s.reportedAt()) : -1,
                    s.ejected()));
        }
        return loads;
    }

    // ---- Plans ---------------------------------------------------------------------------------------

    /** Takes in a message; false if an older one than what is known, or the answer to another process's report. */
    public boolean heard(long now, PlanMessage m) {
        Heard before = planners.get(m.planner());
        boolean older = before != null
                && before.message().incarnation() == m.incarnation()
                && before.message().sequence() >= m.sequence();
        if (older || !answersUs(m) || m.echo().at() > now) {
            return false;
        }
        planners.put(m.planner(), new Heard(m, now));
        if (m.planner().equals(follow(now))) {
            m.views().forEach(v -> views.put(v.upstream(), new View(v, now)));
            views.values().removeIf(v -> now - v.at() > VIEW_WITHIN);
            while (views.size() > MOST_VIEWS) {
                views.remove(views.keySet().iterator().next());
            }
        }
        return true;
    }

    /** Whether what the module is to know changes with a message: of planners on standby, few change anything. */
    public boolean matters(long now, PlanMessage m) {
        return m.planner().equals(follow(now)) || !m.grants().isEmpty();
    }

    /** Whether a message answers a report of this process: the times in it are of its clock only then. */
    boolean answersUs(PlanMessage m) {
        return m.echo().incarnation() == self.incarnation();
    }

    /** The planner that is followed; null if none is heard. The one that covers most, and no change without need. */
    String follow(long now) {
        Comparator<Heard> covers = Comparator.comparingInt(h -> h.message().coverage());
        Heard best = null;
        for (Heard h : planners.values()) {
            if (now - h.at() <= FOLLOW_WITHIN && (best == null || covers.compare(h, best) > 0)) {
                best = h;
            }
        }
        Heard current = leader == null ? null : planners.get(leader);
        boolean stay = current != null
                && now - current.at() <= FOLLOW_WITHIN
                && best.message().coverage() <= CLEARLY_MORE * current.message().coverage();
        leader = stay ? leader : best == null ? null : best.message().planner();
        return leader;
    }

    /** Coverage of the planner that is followed and of the others that are heard: for who watches. */
    public int heardPlanners(long now) {
        return (int) planners.values().stream()
                .filter(h -> now - h.at() <= FOLLOW_WITHIN)
                .count();
    }

    /** What the module is to know now. */
    public LoadBalancingPolicy.Plan plan(long now) {
        String followed = follow(now);
        long heardAt = planners.values().stream().mapToLong(Heard::at).max().orElse(0);
        Heard guide = followed == null ? null : planners.get(followed);
        List<Double> shares = guide == null ? List.of() : guide.message().limitShares();
        List<UpstreamView> known = new ArrayList<>(views.size());
        for (View v : views.values()) {
            PlanMessage.View view = v.view();
            boolean shared = view.zone() >= 0 && view.zone() < shares.size();
            known.add(new UpstreamView(
                    view.upstream(),
                    shared ? view.totalLimit() * shares.get(view.zone()) : Double.NaN,
                    view.launchedAt(),
                    view.draining()));
        }
        return new LoadBalancingPolicy.Plan(
                heardAt,
                fadeTime,
                known,
                guide == null ? List.of() : guide.message().spill(),
                quietUntil,
                rights(now));
    }

    private Map<String, ColdRight> rights(long now) {
        lent.values().removeIf(l -> l.until() <= now);
        Map<String, List<ColdGrant>> grants = new HashMap<>();
        Map<String, Long> launched = new HashMap<>();
        for (Heard h : planners.values()) {
            long until = terms.grantUsableUntil(
                    h.message().echo().at(), h.at(), h.message().grantFor());
            for (PlanMessage.Grant g : until > now ? h.message().grants() : List.<PlanMessage.Grant>of()) {
                long newest = launched.merge(g.upstream(), g.launchedAt(), Math::max);
                List<ColdGrant> held = grants.computeIfAbsent(g.upstream(), id -> new ArrayList<>());
                if (g.launchedAt() < newest) {
                    continue; // of a process that is gone
                }
                held.add(new ColdGrant(g.rate(), until));
            }
        }
        Map<String, ColdRight> rights = new HashMap<>();
        TreeSet<String> ids = new TreeSet<>(lent.keySet());
        ids.addAll(grants.keySet());
        for (String id : ids) {
            rights.put(
                    id,
                    new ColdRight(
                            launched.getOrDefault(id, 0L),
                            lent.containsKey(id) ? lent.get(id).until() : Long.MIN_VALUE,
                            grants.getOrDefault(id, List.of())));
        }
        return rights;
    }
}
