package sedgeyoke.simulation;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import sedgeyoke.model.InvariantChecker;
import sedgeyoke.model.RequestClassModel;

/** Figures by second, and those of the time after the warm-up. */
final class TimeSeries {
    private static final long LONGEST_US = 60_000_000;
    private final long startedAt;
    private final long countsFrom;
    private final List<Second> seconds = new ArrayList<>();
    private final Histogram latency = new Histogram(LONGEST_US, 3);
    private double asked;
    private double served;

    /** One second of clients' time, by when something was first wanted. */
    static final class Second {
        double asked;
        double served;
        long wanted;
        long refused;
        long failed;
        long answered;
        double tookSum;
        long tookMost;
    }

    TimeSeries(long startedAt, double warmUp) {
        this.startedAt = startedAt;
        this.countsFrom = startedAt + (long) (warmUp * 1e6);
    }

    private Second at(long time) {
        int s = (int) ((time - startedAt) / 1_000_000);
        while (seconds.size() <= s) {
            seconds.add(new Second());
        }
        return seconds.get(s);
    }

    void wanted(RequestClassModel cls, long now) {
        Second s = at(now);
        s.asked += cls.priorityWeight();
        s.wanted++;
        asked += now >= countsFrom ? cls.priorityWeight() : 0;
    }

    void answered(RequestClassModel cls, InvariantChecker.Answer how, long took, long since) {
        Second s = at(since);
        if (how == InvariantChecker.Answer.SERVED) {
            double worth = took <= cls.latencyObjectiveMs() * 1_000L ? cls.priorityWeight() : 0;
            s.served += worth;
            s.answered++;
            s.tookSum += took;
            s.tookMost = Math.max(s.tookMost, took);
            if (since >= countsFrom) {
                served += worth;
                latency.recordValue(Math.min(took, LONGEST_US));
            }
        } else if (how == InvariantChecker.Answer.REJECTED) {
            s.refused++;
        } else {
            s.failed++;
        }
    }

    double service() {
        return asked == 0 ? 1 : served / asked;
    }

    Histogram latency() {
        return latency;
    }

    List<Second> seconds() {
        return seconds;
    }
}
