package sedgeyoke.plan.remote;

import com.google.protobuf.ByteString;
import java.lang.ref.Reference;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import sedgeyoke.lease.LeaseClock;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.plan.Planner;
import sedgeyoke.transport.proto.Frame;

/**
 * PlannerScale: what a plan costs for 10, 100 and 1,000 forwarders and as many upstreams, messages encoded and read.
 *
 * <p>One thread does what a planner's loop does in five rounds a second, without sockets and TLS.
 */
public final class PlannerScale {
    private static final int ROUNDS = 70;
    private static final int WARM_UP = 40;
    private static final int PER_SECOND = 5;

    private PlannerScale() {}

    /** Prints a table. */
    public static void main(String[] args) throws Exception {
        System.out.println("forwarders upstreams cold   plan ms (p50  p95)   report us   KB/s to each   KB/s from each"
                + "   heap MB   share of a core");
        for (int n : new int[] {10, 100, 1_000}) {
            for (int cold : new int[] {0, Math.max(1, n / 10)}) {
                play(n, n, cold);
            }
        }
    }

    private static void play(int forwarders, int upstreams, int cold) throws Exception {
        Planner planner = new Planner(new Planner.Settings("p", 7, forwarders, upstreams), new LeaseClock(1_000));
        SplittableRandom random = new SplittableRandom(1);
        long[] plans = new long[ROUNDS - WARM_UP];
        long reports = 0;
        long out = 0;
        long in = 0;
        long stamp = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long now = 1_000_000_000L + round * (1_000_000L / PER_SECOND);
            List<byte[]> messages = new ArrayList<>();
            for (int f = 0; f < forwarders; f++) {
                messages.add(Frame.newBuilder()
                        .setReport(PlannerCodec.encodeReport(report(f, round, stamp, upstreams, cold, random)))
                        .build()
                        .toByteArray());
            }
            long began = System.nanoTime();
            for (int f = 0; f < forwarders; f++) {
                planner.handleReport(
                        now,
                        PlannerCodec.decodeReport(
                                "f" + f, Frame.parseFrom(messages.get(f)).getReport()));
            }
            long reported = System.nanoTime();
            List<Planner.AddressedPlan> planned = planner.createPlans(now);
            ByteString board = PlannerCodec.encodeViews(planned.get(0).message().views());
            long bytes = 0;
            for (Planner.AddressedPlan o : planned) {
                bytes += Frame.newBuilder()
                        .setPlan(PlannerCodec.encodePlan(o, board))
                        .build()
                        .toByteArray()
                        .length;
            }
            long done = System.nanoTime();
            PlanMessage first = planned.get(0).message();
            stamp = first.sentAtMicros();
            if (round >= WARM_UP) {
                plans[round - WARM_UP] = done - reported;
                reports += reported - began;
                out += bytes;
                in += messages.stream().mapToLong(m -> m.length).sum();
            }
        }
        java.util.Arrays.sort(plans);
        System.gc();
        long heap = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        double rounds = plans.length;
        double all = 0;
        for (long p : plans) {
            all += p;
        }
        System.out.printf(
                Locale.ROOT,
                "%10d %9d %4d   %13.2f %5.1f   %9.1f   %12.1f   %14.1f   %7.0f   %15.2f%n",
                forwarders,
                upstreams,
                cold,
                plans[plans.length / 2] / 1e6,
                plans[(int) (plans.length * 0.95)] / 1e6,
                reports / rounds / forwarders / 1e3,
                out / rounds / forwarders * PER_SECOND / 1e3,
                in / rounds / forwarders * PER_SECOND / 1e3,
                heap / 1e6,
                (all + reports) / rounds * PER_SECOND / 1e9);
        Reference.reachabilityFence(planner); // the heap was to be measured with it
    }

    private static ForwarderReport report(
            int f, int round, long stamp, int upstreams, int cold, SplittableRandom random) {
        List<ForwarderReport.Load> loads = new ArrayList<>();
        int n = Math.min(upstreams, ForwarderReport.MAX_LOADS);
        for (int i = 0; i < n; i++) {
            int u = (round * n + f + i) % upstreams;
            loads.add(new ForwarderReport.Load(
                    String.format("s-%08x", u * 0x9E3779B9),
                    u % 3,
                    false,
                    u < cold ? 1_764_580_000_000_000L : 0,
                    random.nextInt(4),
                    round * 20L,
                    1 + random.nextDouble(),
                    random.nextDouble(),
                    random.nextInt(5),
                    random.nextInt(500_000),
                    false));
        }
        List<ForwarderReport.Deposit> deposits = new ArrayList<>();
        for (int u = 0; u < Math.min(cold, ForwarderReport.MAX_DEPOSITS); u++) {
            deposits.add(
                    new ForwarderReport.Deposit(String.format("s-%08x", u * 0x9E3779B9), 1_764_580_000_000_000L, 0.05));
        }
        return new ForwarderReport(
                "f" + f,
                3,
                round + 1,
                77,
                new ForwarderReport.Stamp(7, stamp),
                f % 3,
                1_500_000,
                0.8,
                List.of(10.0, 8.0),
                loads,
                deposits);
    }
}
