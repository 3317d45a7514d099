import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: 600 clients read long answers at 400 kB a second each, and meanwhile other clients send short requests. With
 * {@code TROUBLE=0} the same answers are read at full speed. Each request has to get its answer, or the first bytes of
 * a long one, before the client's time is up and half a second more.
 */
public final class Case1 {
    private static final int READERS = 600;
    private static final long ANSWER_BYTES = 16_000_000;
    private static final int SLOW_BYTES_PER_SECOND = 400_000;
    private static final String SCORED_LIMITS = "\"memory_mb\":192,\"sockets\":1024";
    /** The limits of the example in DEPLOY: a third of 4,096 sockets is 1,365 clients. */
    private static final String LIMITS = "\"memory_mb\":2048,\"sockets\":4096";

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int UPSTREAMS = 6;
    private static final long BUDGET_MS = 2_500;
    /** STANDING: later than half a second after its time, a request is lost. */
    private static final long LOST_MS = BUDGET_MS + 500;
    /** How long a client waits on, to tell late from never. */
    private static final int WAIT_MS = 15_000;

    private static final long SHORT_PAUSE_MS = 100;
    private static final long LOAD_MS = 30_000;

    private final Rig rig;
    private final int port;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger shortLost = new AtomicInteger();
    private final AtomicInteger longStarted = new AtomicInteger();
    private final List<Thread> clients = new ArrayList<>();
    private volatile boolean ending;

    private Case1(Rig rig, int port) {
        this.rig = rig;
        this.port = port;
    }

    public static void main(String[] args) throws Exception {
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[0]), Path.of(args[1]), Path.of(args[2]))) {
            try {
                status = run(rig);
            } catch (IOException e) {
                rig.note("the case couldn't run: " + e);
            }
            rig.note("exit " + status);
        }
        System.exit(status);
    }

    private static int run(Rig rig) throws IOException, InterruptedException {
        List<String> members = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int upstream = Rig.freePort();
            members.add(Rig.member("n" + i, upstream));
            rig.startUpstream("n" + i, upstream, ANSWER_BYTES, line -> {});
        }
        int discovery = Rig.freePort();
        Rig.discovery(discovery, members);
        int port = Rig.freePort();
        String config = Rig.config("b1", port, discovery, Rig.freePort(), members).replace(SCORED_LIMITS, LIMITS);
        Process balancer = rig.startBalancer("b1", port, config);
        Case1 test = new Case1(rig, port);
        test.load();
        rig.noteLog("b1");
        rig.note("balancer alive: " + balancer.isAlive());
        rig.note(test.answered + " answered in time, " + test.lost + " lost (" + test.shortLost
                + " of them short), " + test.longStarted + " long answers begun");
        if (test.longStarted.get() < READERS / 2 && test.lost.get() == 0) {
            return 2; // the load did not come about
        }
        return test.lost.get() > 0 || !balancer.isAlive() ? 1 : 0;
    }

    /** Sends everything, and waits until each client knows how its request ended. */
    private void load() throws InterruptedException {
        long end = rig.now() + LOAD_MS;
        for (int i = 0; i < READERS; i++) {
            String name = "long" + i;
            clients.add(Rig.daemon(() -> readLong(name)));
            if (i % 10 == 9) {
                send("short" + i);
                Thread.sleep(SHORT_PAUSE_MS);
            }
        }
        for (int i = READERS; rig.now() < end; i++) {
            send("short" + i);
            Thread.sleep(SHORT_PAUSE_MS);
        }
        ending = true;
        for (Thread client : clients) {
            client.join(WAIT_MS + 1_000);
        }
    }

    private void send(String id) {
        clients.add(Rig.daemon(() -> {
            try (Socket socket = Rig.connect(port, 0)) {
                request(socket, id);
            } catch (IOException e) {
                rig.note(id + " could not connect: " + e.getMessage());
            }
        }));
    }

    /** Sends one request with a short body and reads the head of its answer; returns it, empty if there is none. */
    private String request(Socket socket, String id) throws IOException {
        socket.setSoTimeout(WAIT_MS);
        Rig.write(socket, Rig.confirm(id, BUDGET_MS, 4) + "work");
        long sent = rig.now();
        String head = "";
        String end;
        try {
            head = Rig.readHead(socket.getInputStream());
            end = head.isEmpty() ? "a close without an answer" : head.substring(9, 12);
        } catch (IOException e) {
            end = e.getMessage();
        }
        long took = rig.now() - sent;
        boolean isLost = head.isEmpty() || took > LOST_MS;
        (isLost ? lost : answered).incrementAndGet();
        if (isLost && id.startsWith("short")) {
            shortLost.incrementAndGet();
        }
        rig.note(id + (isLost ? " LOST: " : ": ") + end + " after " + took + " ms");
        return head;
    }

    /** Asks for a long answer and reads it; asks again, under a new id, if it was refused. */
    private void readLong(String name) {
        for (int attempt = 0; attempt < 20 && !ending; attempt++) {
            try (Socket socket = Rig.connect(port, RECEIVE_BUFFER_BYTES)) {
                String head = request(socket, name + "-" + attempt);
                if (head.startsWith("HTTP/1.1 200")) {
                    longStarted.incrementAndGet();
                    rig.note(name + " read " + drain(socket.getInputStream()) + " bytes");
                    return;
                } else if (!head.startsWith("HTTP/1.1 503") && !head.startsWith("HTTP/1.1 429")) {
                    return;
                }
                Thread.sleep(300);
            } catch (IOException e) {
                rig.note(name + " ended: " + e.getMessage());
                return;
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Reads steadily: a part every 20 ms or so; without the trouble as fast as it comes. */
    private long drain(InputStream in) throws IOException, InterruptedException {
        byte[] part = new byte[8_000];
        long start = rig.now();
        long got = 0;
        while (got < ANSWER_BYTES && !ending) {
            int read = in.read(part);
            if (read < 0) {
                break;
            }
            got += read;
            long ahead = start + got * 1_000 / SLOW_BYTES_PER_SECOND - rig.now();
            if (rig.trouble && ahead > 0) {
                Thread.sleep(ahead);
            }
        }
        return got;
    }
}
