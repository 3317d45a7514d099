package sedgeyoke.model;

import java.util.ArrayList;
import java.util.List;

/** How much of a limit was used, by tenths of it: a limit that is almost reached is a finding, too. */
public final class MarginHistogram {
    private static final int TENTHS = 10;

    /** The last one counts what exceeded the limit. */
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

    /** How many observations used each tenth of the limit, and how many exceeded it. */
    public List<Long> counts() {
        List<Long> list = new ArrayList<>();
        for (long count : counts) {
            list.add(count);
        }
        return list;
    }
}
