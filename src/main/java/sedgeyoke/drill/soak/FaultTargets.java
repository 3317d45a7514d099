package sedgeyoke.drill.soak;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Nodes or balancers, with a limit on how many are faulty at a time. One thread draws targets, any releases them. */
final class FaultTargets<T> {
    private final List<T> all;
    private final int maxFaulty;
    private final SplittableRandom random;
    private final Set<T> faulty = new HashSet<>();

    FaultTargets(List<T> all, int maxFaulty, SplittableRandom random) {
        this.all = all;
        this.maxFaulty = maxFaulty;
        this.random = random;
    }

    /** Draws a target that is not faulty and marks it as faulty; empty if the limit is reached. */
    synchronized Optional<T> reserve() {
        if (faulty.size() >= maxFaulty) {
            return Optional.empty();
        }
        List<T> available =
                all.stream().filter(target -> !faulty.contains(target)).toList();
        T target = available.get(random.nextInt(available.size()));
        faulty.add(target);
        return Optional.of(target);
    }

    /** Marks a target as no longer faulty. */
    synchronized void release(T target) {
        faulty.remove(target);
    }
}
