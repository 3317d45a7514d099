package sedgeyoke.plan.remote;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.plan.Planner;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.Board;
import sedgeyoke.transport.proto.LoadMessage;
import sedgeyoke.transport.proto.PlanFrame;
import sedgeyoke.transport.proto.ReportMessage;
import sedgeyoke.transport.proto.RightMessage;
import sedgeyoke.transport.proto.Stamp;
import sedgeyoke.transport.proto.ViewMessage;

/** Between the records of {@link sedgeyoke.plan} and the messages of the schema, with a bound on all that is read. */
final class PlannerCodec {
    /** Further entries than any sender of ours makes are a fault of the sender. */
    private static final int MOST_ENTRIES = 4 * ForwarderReport.MAX_LOADS;

    private static final int MOST_ZONES = 1_000;
    private static final int LONGEST_ID = 256;
    private static final long LONGEST_LEASE = 60_000_000;
    private static final double LARGEST = 1e9;

    private PlannerCodec() {}

    private static void require(boolean plausible, String what) throws InvalidMessageException {
        if (!plausible) {
            throw new InvalidMessageException(what);
        }
    }

    private static boolean number(double value) {
        return value >= 0 && value <= LARGEST; // and no NaN
    }

    private static boolean id(String id) {
        return !id.isEmpty() && id.length() <= LONGEST_ID;
    }

    // ---- Reports -------------------------------------------------------------------------------------

    static ReportMessage of(ForwarderReport r) {
        ReportMessage.Builder m = ReportMessage.newBuilder()
                .setIncarnation(r.incarnation())
                .setSequence(r.sequence())
                .setSentAt(r.sentAtMicros())
                .setEcho(stamp(r.echo()))
                .setZone(r.zone())
                .setLeaseUs(r.leaseMicros())
                .setLeastGrant(r.minGrantRate())
                .addAllDemand(r.demand());
        for (ForwarderReport.Load l : r.loads()) {
            LoadMessage.Builder load = LoadMessage.newBuilder()
                    .setUpstream(l.upstream())
                    .setZone(l.zone())
                    .setDraining(l.draining())
                    .setLaunchedAt(l.launchedAt())
                    .setInFlight(l.inFlight())
                    .setSent(l.sent())
                    .setLimit((float) l.limit())
                    .setAgeUs(l.reportAgeMicros())
                    .setEjected(l.ejected());
            if (l.utilisation() >= 0) {
                load.setUtilisation((float) l.utilisation());
            }
            if (l.waiting() >= 0) {
                load.setWaiting((float) l.waiting());
            }
            m.addLoads(load);
        }
        r.deposits().forEach(d -> m.addDeposits(right(d.upstream(), d.launchedAt(), d.rate())));
        return m.build();
    }

    /** Reads a report of a forwarder whose name the certificate gave. */
    static ForwarderReport report(String forwarder, ReportMessage m) throws InvalidMessageException {
        require(m.getLoadsCount() <= MOST_ENTRIES && m.getDepositsCount() <= MOST_ENTRIES, "number of entries");
        require(m.getZone() >= 0 && m.getZone() < MOST_ZONES, "zone");
        require(m.getLeaseUs() >= 0 && m.getLeaseUs() <= LONGEST_LEASE, "lease");
        require(number(m.getLeastGrant()) && m.getDemandCount() <= MOST_ZONES, "demand");
        for (double demand : m.getDemandList()) {
            require(number(demand), "demand");
        }
        List<ForwarderReport.Load> loads = new ArrayList<>(m.getLoadsCount());
        for (LoadMessage l : m.getLoadsList()) {
            require(
                    id(l.getUpstream())
                            && l.getZone() < MOST_ZONES
                            && number(l.getLimit())
                            && l.getSent() >= 0
                            && l.getInFlight() >= 0
                            && (!l.hasUtilisation() || number(l.getUtilisation()))
                            && (!l.hasWaiting() || number(l.getWaiting())),
                    "load");
            loads.add(new ForwarderReport.Load(
                    l.getUpstream(),
                    Math.max(-1, l.getZone()),
                    l.getDraining(),
                    l.getLaunchedAt(),
                    l.getInFlight(),
                    l.getSent(),
                    l.getLimit(),
                    l.hasUtilisation() ? l.getUtilisation() : Double.NaN,
                    l.hasWaiting() ? l.getWaiting() : Double.NaN,
                    l.hasUtilisation() ? l.getAgeUs() : -1,
                    l.getEjected()));
        }
        List<ForwarderReport.Deposit> deposits = new ArrayList<>(m.getDepositsCount());
        for (RightMessage d : m.getDepositsList()) {
            require(id(d.getUpstream()) && number(d.getRate()), "deposit");
            deposits.add(new ForwarderReport.Deposit(d.getUpstream(), d.getLaunchedAt(), d.getRate()));
        }
        return new ForwarderReport(
                forwarder,
                m.getIncarnation(),
                m.getSequence(),
                m.getSentAt(),
                stamp(m.getEcho()),
                m.getZone(),
                m.getLeaseUs(),
                m.getLeastGrant(),
                List.copyOf(m.getDemandList()),
                loads,
                deposits);
    }

    // ---- Plans ---------------------------------------------------------------------------------------

    /** All messages of one plan share their views; they are encoded once. */
    static ByteString board(List<PlanMessage.View> views) {
        Board.Builder board = Board.newBuilder();
        for (PlanMessage.View v : views) {
            board.addViews(ViewMessage.newBuilder()
                    .setUpstream(v.upstream())
                    .setZone(v.zone())
                    .setTotalLimit((float) Math.max(0, v.totalLimit()))
                    .setLaunchedAt(v.launchedAt())
                    .setDraining(v.draining()));
        }
        return board.build().toByteString();
    }

    static PlanFrame of(Planner.AddressedPlan out, ByteString board) {
        PlanMessage p = out.message();
        PlanFrame.Builder m = PlanFrame.newBuilder()
                .setIncarnation(p.incarnation())
                .setSequence(p.sequence())
                .setSentAt(p.sentAtMicros())
                .setEcho(stamp(p.echo()))
                .setCoverage(p.coverage())
                .setBoard(board)
                .setGrantForUs(p.grantDurationMicros());
        p.spillover().forEach(s -> m.addSpill(s.floatValue()));
        p.limitShares().forEach(s -> m.addLimitShares(Double.isNaN(s) ? -1 : s));
        p.grants().forEach(g -> m.addGrants(right(g.upstream(), g.launchedAt(), g.rate())));
        return m.build();
    }

    /** Reads a plan of a planner whose name the certificate gave. */
    static PlanMessage plan(String planner, PlanFrame m)
            throws InvalidMessageException, InvalidProtocolBufferException {
        Board board = Board.parseFrom(m.getBoard());
        require(
                board.getViewsCount() <= MOST_ENTRIES
                        && m.getGrantsCount() <= MOST_ENTRIES
                        && m.getSpillCount() <= MOST_ZONES
                        && m.getLimitSharesCount() <= MOST_ZONES,
                "number of entries");
        require(m.getGrantForUs() >= 0 && m.getGrantForUs() <= LONGEST_LEASE, "time of grants");
        List<PlanMessage.View> views = new ArrayList<>(board.getViewsCount());
        for (ViewMessage v : board.getViewsList()) {
            require(id(v.getUpstream()) && number(v.getTotalLimit()), "view");
            views.add(new PlanMessage.View(
                    v.getUpstream(), v.getZone(), v.getTotalLimit(), v.getLaunchedAt(), v.getDraining()));
        }
        List<Double> spill = new ArrayList<>(m.getSpillCount());
        for (float s : m.getSpillList()) {
            require(number(s), "share");
            spill.add((double) s);
        }
        List<Double> shares = new ArrayList<>(m.getLimitSharesCount());
        for (double s : m.getLimitSharesList()) {
            require(s == -1 || number(s), "share");
            shares.add(s < 0 ? Double.NaN : s);
        }
        List<PlanMessage.Grant> grants = new ArrayList<>(m.getGrantsCount());
        for (RightMessage g : m.getGrantsList()) {
            require(id(g.getUpstream()) && number(g.getRate()), "grant");
            grants.add(new PlanMessage.Grant(g.getUpstream(), g.getLaunchedAt(), g.getRate()));
        }
        return new PlanMessage(
                planner,
                m.getIncarnation(),
                m.getSequence(),
                m.getSentAt(),
                stamp(m.getEcho()),
                m.getCoverage(),
                views,
                spill,
                shares,
                m.getGrantForUs(),
                grants);
    }

    private static RightMessage right(String upstream, long launchedAt, double rate) {
        return RightMessage.newBuilder()
                .setUpstream(upstream)
                .setLaunchedAt(launchedAt)
                .setRate(rate)
                .build();
    }

    private static Stamp stamp(ForwarderReport.Stamp s) {
        return Stamp.newBuilder()
                .setIncarnation(s.incarnation())
                .setAt(s.atMicros())
                .build();
    }

    private static ForwarderReport.Stamp stamp(Stamp s) {
        return new ForwarderReport.Stamp(s.getIncarnation(), s.getAt());
    }
}
