package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.List;

/** Takes some of a list at a time, all in turn: a message has room for so many, and the others come next. */
final class RotatingBatch {
    private int next;

    <T> List<T> take(List<T> all, int most) {
        int n = Math.min(all.size(), most);
        List<T> taken = new ArrayList<>(n);
        for (int i = 0; i < n; i++) {
            taken.add(all.get((next + i) % all.size()));
        }
        next = all.isEmpty() ? 0 : (next + n) % all.size();
        return taken;
    }
}
