package sedgeyoke.model;

import java.util.ArrayList;
import java.util.List;

/** A histogram of how much of a limit was used, in tenths of it; it also shows when a limit was almost reached. */
public final class MarginHistogram {
    private static final int TENTHS = 10;

    /** One count for each tenth; the last element counts observations at or above the limit. */
    private final long[] counts = new long[TENTHS + 1];

    private double worst;

    /** Adds an observation as a share of its limit; negative ones count as 0. */
    void add(double shareOfLimit) {
        int tenth = (int) Math.max(0, Math.min(TENTHS, Math.floor(shareOfLimit * TENTHS)));
        counts[tenth]++;
        worst = Math.max(worst, shareOfLimit);
    }

    /** The highest share of the limit that was used. */
    public double worst() {
        return worst;
    }

    /** The observations in each tenth of the limit, then those at or above it. */
    public List<Long> counts() {
        List<Long> list = new ArrayList<>();
        for (long count : counts) {
            list.add(count);
        }
        return list;
    }
}
