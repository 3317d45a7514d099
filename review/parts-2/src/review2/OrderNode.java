package review2;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound upstream with two cores and a bounded queue: requests beyond it are turned away as never run. */
public final class OrderNode implements Upstream.Handler {
    private static final String LOAD = "X-Load-Report: {\"waiting\":0,\"cpu\":0.5,\"avg_ms\":100}\r\n";
    private static final int CORES = 2;
    private static final int MAX_PRESENT = 40;

    private final int workMillis;
    private final Semaphore cores = new Semaphore(CORES, true);
    private final AtomicInteger present = new AtomicInteger();

    /** Creates an upstream that works on each request for so long. */
    public OrderNode(int workMillis) {
        this.workMillis = workMillis;
    }

    @Override
    public boolean answer(Http.Head head, byte[] body, OutputStream out) throws IOException, InterruptedException {
        boolean accepted = present.incrementAndGet() <= MAX_PRESENT;
        try {
            if (accepted) {
                work();
            }
        } finally {
            present.decrementAndGet();
        }
        out.write(
                accepted
                        ? Upstream.response("200 OK", LOAD, "done " + head.field("X-Call-Id"))
                        : Upstream.response("503 Service Unavailable", "X-Rejected: 1\r\n" + LOAD, ""));
        return true;
    }

    private void work() throws InterruptedException {
        cores.acquire();
        try {
            TimeUnit.MILLISECONDS.sleep(workMillis);
        } finally {
            cores.release();
        }
    }
}
