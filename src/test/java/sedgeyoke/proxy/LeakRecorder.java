package sedgeyoke.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBufAllocator;
import io.netty.util.ResourceLeakDetector;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Netty's leak detector, which tests run at paranoid (see the build file), with what it finds kept: in its own shape it
 * only logs.
 */
public final class LeakRecorder<T> extends ResourceLeakDetector<T> {
    private static final List<String> FOUND = new CopyOnWriteArrayList<>();
    private static final int ROUNDS = 5;

    /** Netty calls these by reflection. */
    public LeakRecorder(Class<?> type, int interval) {
        super(type, interval);
    }

    /** Netty calls these by reflection. */
    public LeakRecorder(Class<?> type, int interval, long most) {
        super(type, interval);
    }

    @Override
    protected boolean needReport() {
        return true;
    }

    @Override
    protected void reportTracedLeak(String type, String records) {
        FOUND.add(type + records);
    }

    @Override
    protected void reportUntracedLeak(String type) {
        FOUND.add(type);
    }

    /** Whether the detector was put in place; without it {@link #assertNone} would hold whatever happens. */
    static boolean watching() {
        return ByteBufAllocator.DEFAULT.getClass() != null
                && LeakRecorder.class.getName().equals(System.getProperty("io.netty.customResourceLeakDetector"))
                && ResourceLeakDetector.getLevel() == Level.PARANOID;
    }

    /** Fails with where a buffer was last touched that nobody released. */
    static void assertNone() {
        provoke();
        assertEquals(List.of(), FOUND);
    }

    /** What was found since the last call; for the test of this class. */
    static List<String> take() {
        provoke();
        List<String> found = List.copyOf(FOUND);
        FOUND.clear();
        return found;
    }

    /** What is lost is found when the next buffer is made, once the collector has seen it. */
    private static void provoke() {
        for (int i = 0; i < ROUNDS; i++) {
            System.gc();
            ByteBufAllocator.DEFAULT.buffer(1).release();
            ByteBufAllocator.DEFAULT.directBuffer(1).release();
        }
    }
}
