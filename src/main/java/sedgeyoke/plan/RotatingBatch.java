package sedgeyoke.plan;

import java.util.ArrayList;
import java.util.List;

/** Selects consecutive batches of a list in rotation, so that messages of bounded size cover all elements in turn. */
final class RotatingBatch {
    private int start;

    /** Returns the next batch of at most {@code maxSize} elements; it continues at the front after the last element. */
    <T> List<T> next(List<T> elements, int maxSize) {
        if (elements.isEmpty()) {
            start = 0;
            return List.of();
        }
        int size = Math.min(elements.size(), maxSize);
        List<T> batch = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            batch.add(elements.get((start + i) % elements.size()));
        }
        start = (start + size) % elements.size();
        return batch;
    }
}
