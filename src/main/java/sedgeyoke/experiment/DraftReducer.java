package sedgeyoke.experiment;

import java.util.ArrayList;
import java.util.List;
import sedgeyoke.simulation.Scenario.Fault;

/** Derives smaller drafts: with one fault less, half the forwarders, half the upstreams, or a shorter run. */
final class DraftReducer {
    private static final int MIN_FORWARDERS = 3;
    private static final int MIN_NODES = 3;
    private static final double MIN_SECONDS = 4;
    private static final double SHORTENING = 0.75;
    /** Minimum time from the start of the last fault to the end of the run. */
    private static final double SECONDS_AFTER_LAST_FAULT = 2;

    private DraftReducer() {}

    /** Returns all drafts that are one reduction step smaller, the largest steps first. */
    static List<ScenarioDraft> reductions(ScenarioDraft draft) {
        List<ScenarioDraft> reductions = new ArrayList<>();
        for (int i = 0; i < draft.faults().size(); i++) {
            reductions.add(draft.withoutFault(i));
        }
        addHalved(draft, "forwarders", MIN_FORWARDERS, reductions);
        addHalved(draft, "nodes", MIN_NODES, reductions);
        addShortened(draft, reductions);
        return reductions;
    }

    private static void addHalved(ScenarioDraft draft, String key, int min, List<ScenarioDraft> reductions) {
        if (draft.scenario().get(key) instanceof Number size && size.longValue() > min) {
            reductions.add(draft.with(key, Math.max(min, size.longValue() / 2)));
        }
    }

    private static void addShortened(ScenarioDraft draft, List<ScenarioDraft> reductions) {
        double shortened = SHORTENING * ScenarioDraft.secondsOf(draft.scenario());
        double lastFault =
                draft.faults().stream().mapToDouble(Fault::startSeconds).max().orElse(0);
        if (shortened >= Math.max(MIN_SECONDS, lastFault + SECONDS_AFTER_LAST_FAULT)) {
            reductions.add(draft.with("seconds", shortened));
        }
    }
}
