package sedgeyoke.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts violations by rule and keeps the first ones. */
final class ViolationLog {
    /** A single fault in a balancer can cause a violation for each request; the first ones suffice to find it. */
    private static final int MAX_RECORDED = 20;

    private final Map<Integer, Integer> countsByRule = new TreeMap<>();
    private final List<Violation> first = new ArrayList<>();

    void add(Violation violation) {
        countsByRule.merge(violation.rule().number(), 1, Integer::sum);
        if (first.size() < MAX_RECORDED) {
            first.add(violation);
        }
    }

    List<Violation> first() {
        return List.copyOf(first);
    }

    /** Violations by rule number, without the rules that have none; the caller may modify the map. */
    Map<Integer, Integer> countsByRule() {
        return new TreeMap<>(countsByRule);
    }
}
