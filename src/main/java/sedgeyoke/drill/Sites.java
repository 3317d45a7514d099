package sedgeyoke.drill;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.model.SiteModel;

/** The sites that demo and drills run on. */
public final class Sites {
    private static final double FAST = 1.8;
    private static final double SLOW = 0.9;
    private static final int CORES = 2;
    private static final int QUEUE = 40;

    private Sites() {}

    /** The platform's three zones with nodes spread unevenly over them; every third node is slow. */
    public static SiteModel orders(int nodes) {
        List<SiteModel.NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            int zone = i % 4 == 3 ? 0 : i % 4; // the first zone has twice as many
            specs.add(new SiteModel.NodeSpec("n" + (i + 1), zone, CORES, i % 3 == 2 ? SLOW : FAST, QUEUE));
        }
        return new SiteModel(
                List.of("kagoshima", "miyazaki", "oita"), SiteModel.orders(), specs, SiteModel.RuleSpec.DEFAULT, false);
    }
}
