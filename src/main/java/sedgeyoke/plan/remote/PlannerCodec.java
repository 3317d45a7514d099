package sedgeyoke.plan.remote;

import static sedgeyoke.transport.InvalidMessageException.require;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.plan.ForwarderReport;
import sedgeyoke.plan.PlanMessage;
import sedgeyoke.plan.Planner;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.LoadReportMessage;
import sedgeyoke.transport.proto.PlanUpdateMessage;
import sedgeyoke.transport.proto.SlowStartQuotaMessage;
import sedgeyoke.transport.proto.StampMessage;
import sedgeyoke.transport.proto.UpstreamLoadMessage;
import sedgeyoke.transport.proto.UpstreamViewMessage;
import sedgeyoke.transport.proto.UpstreamViewsMessage;

/**
 * Converts load reports and plans to and from their protobuf messages, and checks the bounds of all decoded fields.
 */
final class PlannerCodec {
    /** Maximum number of elements in a repeated field: four times what this program sends. */
    private static final int MAX_ELEMENTS = 4 * ForwarderReport.MAX_LOADS;

    private static final int MAX_ZONES = 1_000;
    private static final int MAX_ID_LENGTH = 256;
    private static final long MAX_LEASE_MICROS = 60_000_000;
    private static final double MAX_NUMBER = 1e9;
    /** Encodes a share that the planner does not know. */
    private static final double UNKNOWN_SHARE = -1;

    private PlannerCodec() {}

    private static boolean isValidNumber(double value) {
        return value >= 0 && value <= MAX_NUMBER; // false for NaN
    }

    private static boolean isValidId(String id) {
        return !id.isEmpty() && id.length() <= MAX_ID_LENGTH;
    }

    // ---- Load reports --------------------------------------------------------------------------------

    static LoadReportMessage encodeReport(ForwarderReport report) {
        LoadReportMessage.Builder message = LoadReportMessage.newBuilder()
                .setIncarnation(report.incarnation())
                .setSequence(report.sequence())
                .setSentAtUs(report.sentAtMicros())
                .setEcho(encode(report.echo()))
                .setZone(report.zone())
                .setLeaseUs(report.leaseMicros())
                .setMinGrantRate(report.minGrantRate())
                .addAllDemand(report.demand());
        report.loads().forEach(load -> message.addLoads(encode(load)));
        report.deposits()
                .forEach(deposit -> message.addDeposits(
                        encodeQuota(deposit.upstream(), deposit.launchedAtMicros(), deposit.rate())));
        return message.build();
    }

    private static UpstreamLoadMessage encode(ForwarderReport.Load load) {
        UpstreamLoadMessage.Builder message = UpstreamLoadMessage.newBuilder()
                .setUpstream(load.upstream())
                .setZone(load.zone())
                .setDraining(load.draining())
                .setLaunchedAt(load.launchedAtMicros())
                .setInFlight(load.inFlight())
                .setSent(load.sent())
                .setLimit((float) load.limit())
                .setReportAgeUs(load.reportAgeMicros())
                .setEjected(load.ejected());
        if (load.utilisation() >= 0) {
            message.setUtilisation((float) load.utilisation());
        }
        if (load.waiting() >= 0) {
            message.setWaiting((float) load.waiting());
        }
        return message.build();
    }

    /** Decodes a report; {@code forwarder} is the name in the sender's certificate. */
    static ForwarderReport decodeReport(String forwarder, LoadReportMessage message) throws InvalidMessageException {
        require(
                message.getLoadsCount() <= MAX_ELEMENTS && message.getDepositsCount() <= MAX_ELEMENTS,
                "number of entries");
        require(message.getZone() >= 0 && message.getZone() < MAX_ZONES, "zone");
        require(message.getLeaseUs() >= 0 && message.getLeaseUs() <= MAX_LEASE_MICROS, "lease");
        require(isValidNumber(message.getMinGrantRate()), "smallest grant");
        require(message.getDemandCount() <= MAX_ZONES, "number of demands");
        for (double demand : message.getDemandList()) {
            require(isValidNumber(demand), "demand");
        }
        List<ForwarderReport.Load> loads = new ArrayList<>(message.getLoadsCount());
        for (UpstreamLoadMessage load : message.getLoadsList()) {
            loads.add(decode(load));
        }
        List<ForwarderReport.Deposit> deposits = new ArrayList<>(message.getDepositsCount());
        for (SlowStartQuotaMessage deposit : message.getDepositsList()) {
            checkQuota(deposit, "deposit");
            deposits.add(
                    new ForwarderReport.Deposit(deposit.getUpstream(), deposit.getLaunchedAt(), deposit.getRate()));
        }
        return new ForwarderReport(
                forwarder,
                message.getIncarnation(),
                message.getSequence(),
                message.getSentAtUs(),
                decode(message.getEcho()),
                message.getZone(),
                message.getLeaseUs(),
                message.getMinGrantRate(),
                List.copyOf(message.getDemandList()),
                loads,
                deposits);
    }

    private static ForwarderReport.Load decode(UpstreamLoadMessage load) throws InvalidMessageException {
        require(isValidId(load.getUpstream()), "upstream of load");
        require(load.getZone() < MAX_ZONES, "zone of load");
        require(isValidNumber(load.getLimit()), "limit");
        require(load.getSent() >= 0 && load.getInFlight() >= 0, "attempts");
        require(!load.hasUtilisation() || isValidNumber(load.getUtilisation()), "utilisation");
        require(!load.hasWaiting() || isValidNumber(load.getWaiting()), "queued requests");
        return new ForwarderReport.Load(
                load.getUpstream(),
                Math.max(-1, load.getZone()),
                load.getDraining(),
                load.getLaunchedAt(),
                load.getInFlight(),
                load.getSent(),
                load.getLimit(),
                load.hasUtilisation() ? load.getUtilisation() : Double.NaN,
                load.hasWaiting() ? load.getWaiting() : Double.NaN,
                load.hasUtilisation() ? load.getReportAgeUs() : -1,
                load.getEjected());
    }

    // ---- Plans ---------------------------------------------------------------------------------------

    /** Encodes the views, once for all plans of one interval, because these plans share them. */
    static ByteString encodeViews(List<PlanMessage.View> views) {
        UpstreamViewsMessage.Builder message = UpstreamViewsMessage.newBuilder();
        for (PlanMessage.View view : views) {
            message.addViews(UpstreamViewMessage.newBuilder()
                    .setUpstream(view.upstream())
                    .setZone(view.zone())
                    .setTotalLimit((float) Math.max(0, view.totalLimit()))
                    .setLaunchedAt(view.launchedAtMicros())
                    .setDraining(view.draining()));
        }
        return message.build().toByteString();
    }

    /** Encodes a plan with views from {@link #encodeViews}. */
    static PlanUpdateMessage encodePlan(Planner.AddressedPlan addressed, ByteString views) {
        PlanMessage plan = addressed.message();
        PlanUpdateMessage.Builder message = PlanUpdateMessage.newBuilder()
                .setIncarnation(plan.incarnation())
                .setSequence(plan.sequence())
                .setSentAtUs(plan.sentAtMicros())
                .setEcho(encode(plan.echo()))
                .setCoverage(plan.coverage())
                .setViews(views)
                .setGrantDurationUs(plan.grantDurationMicros());
        plan.spillover().forEach(share -> message.addSpillover(share.floatValue()));
        plan.limitShares().forEach(share -> message.addLimitShares(Double.isNaN(share) ? UNKNOWN_SHARE : share));
        plan.grants()
                .forEach(grant ->
                        message.addGrants(encodeQuota(grant.upstream(), grant.launchedAtMicros(), grant.rate())));
        return message.build();
    }

    /** Decodes a plan; {@code planner} is the name in the sender's certificate. */
    static PlanMessage decodePlan(String planner, PlanUpdateMessage message)
            throws InvalidMessageException, InvalidProtocolBufferException {
        require(message.getGrantsCount() <= MAX_ELEMENTS, "number of grants");
        require(
                message.getSpilloverCount() <= MAX_ZONES && message.getLimitSharesCount() <= MAX_ZONES,
                "number of shares");
        require(
                message.getGrantDurationUs() >= 0 && message.getGrantDurationUs() <= MAX_LEASE_MICROS,
                "duration of grants");
        List<PlanMessage.Grant> grants = new ArrayList<>(message.getGrantsCount());
        for (SlowStartQuotaMessage grant : message.getGrantsList()) {
            checkQuota(grant, "grant");
            grants.add(new PlanMessage.Grant(grant.getUpstream(), grant.getLaunchedAt(), grant.getRate()));
        }
        return new PlanMessage(
                planner,
                message.getIncarnation(),
                message.getSequence(),
                message.getSentAtUs(),
                decode(message.getEcho()),
                message.getCoverage(),
                decodeViews(message.getViews()),
                decodeSpillover(message.getSpilloverList()),
                decodeLimitShares(message.getLimitSharesList()),
                message.getGrantDurationUs(),
                grants);
    }

    private static List<PlanMessage.View> decodeViews(ByteString bytes)
            throws InvalidMessageException, InvalidProtocolBufferException {
        UpstreamViewsMessage message = UpstreamViewsMessage.parseFrom(bytes);
        require(message.getViewsCount() <= MAX_ELEMENTS, "number of views");
        List<PlanMessage.View> views = new ArrayList<>(message.getViewsCount());
        for (UpstreamViewMessage view : message.getViewsList()) {
            require(isValidId(view.getUpstream()) && isValidNumber(view.getTotalLimit()), "view");
            views.add(new PlanMessage.View(
                    view.getUpstream(),
                    view.getZone(),
                    view.getTotalLimit(),
                    view.getLaunchedAt(),
                    view.getDraining()));
        }
        return views;
    }

    private static List<Double> decodeSpillover(List<Float> message) throws InvalidMessageException {
        List<Double> shares = new ArrayList<>(message.size());
        for (float share : message) {
            require(isValidNumber(share), "spillover share");
            shares.add((double) share);
        }
        return shares;
    }

    private static List<Double> decodeLimitShares(List<Double> message) throws InvalidMessageException {
        List<Double> shares = new ArrayList<>(message.size());
        for (double share : message) {
            require(share == UNKNOWN_SHARE || isValidNumber(share), "limit share");
            shares.add(share == UNKNOWN_SHARE ? Double.NaN : share);
        }
        return shares;
    }

    // ---- Common parts --------------------------------------------------------------------------------

    private static SlowStartQuotaMessage encodeQuota(String upstream, long launchedAtMicros, double rate) {
        return SlowStartQuotaMessage.newBuilder()
                .setUpstream(upstream)
                .setLaunchedAt(launchedAtMicros)
                .setRate(rate)
                .build();
    }

    private static void checkQuota(SlowStartQuotaMessage quota, String field) throws InvalidMessageException {
        require(isValidId(quota.getUpstream()) && isValidNumber(quota.getRate()), field);
    }

    private static StampMessage encode(ForwarderReport.Stamp stamp) {
        return StampMessage.newBuilder()
                .setIncarnation(stamp.incarnation())
                .setAtUs(stamp.atMicros())
                .build();
    }

    private static ForwarderReport.Stamp decode(StampMessage stamp) {
        return new ForwarderReport.Stamp(stamp.getIncarnation(), stamp.getAtUs());
    }
}
