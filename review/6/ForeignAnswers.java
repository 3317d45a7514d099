package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: upstreams send a second copy of some answers some milliseconds later, while nothing waits on the connection,
 * and later the balancer is held up now and then as well. No client may get an answer that was made for another
 * request, and no request may run twice.
 */
public final class ForeignAnswers {
    private static final int UPSTREAMS = 12;
    private static final int CLIENTS = 48;
    private static final int PLAY_MILLIS = 90_000;
    /** From here on the balancer is held up now and then as well. */
    private static final int HOLDS_FROM_MILLIS = 15_000;
    private static final int HOLD_MILLIS = 60;
    private static final int HOLD_PERIOD_MILLIS = 200;
    /** A second copy comes this long after the answer, or not at all. */
    private static final int LATE_MILLIS = 4;
    private static final int MAX_LATE_MILLIS = 6;
    /** One of so many answers has a second copy. */
    private static final int SECOND_COPY_PERIOD = 3;
    /** One of so many requests is turned away, as if the queue were full. */
    private static final int TURNED_AWAY_PERIOD = 12;
    private static final int WORK_MILLIS = 15;
    private static final int BUDGET_MILLIS = 2_500;
    private static final String LOAD = "X-Load-Report: {\"waiting\":0,\"cpu\":0.3,\"avg_ms\":30}\r\n";

    private final Case running;
    private final Record record;
    private final Random random = new Random(6);
    private final AtomicInteger answers = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger twice = new AtomicInteger();
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    private volatile boolean ended;

    private ForeignAnswers(Case running) {
        this.running = running;
        this.record = running.record();
    }

    /** Plays the case. */
    public static void main(String[] args) {
        Case.main(args, running -> new ForeignAnswers(running).play());
    }

    private int play() throws IOException, InterruptedException {
        Discovery discovery = new Discovery();
        for (int number = 0; number < UPSTREAMS; number++) {
            discovery.set("s-" + number, startUpstream(), "a", "up", 0);
        }
        int port = Balancer.freePort();
        Balancer balancer = running.start(
                port,
                Settings.balancer(port, null, discovery.address(), discovery.list(-1), Settings.siteClasses()));
        for (int client = 0; client < CLIENTS; client++) {
            int number = client;
            Threads.start(() -> sendRequests(port, number));
        }
        Threads.sleep(HOLDS_FROM_MILLIS);
        record.line("foreign answers without hold-ups: " + foreign);
        long end = System.nanoTime() + (PLAY_MILLIS - HOLDS_FROM_MILLIS) * 1_000_000L;
        while (System.nanoTime() < end) {
            Threads.sleep(HOLD_PERIOD_MILLIS - HOLD_MILLIS + random.nextInt(20));
            holdUp(balancer);
        }
        ended = true;
        record.line("served " + served + ", not served " + notServed + ", run " + ran.size() + ", answers of upstreams "
                + answers + ", second copies " + copies + ", foreign answers " + foreign + ", run twice " + twice);
        if (served.get() == 0) {
            return Case.COULD_NOT_RUN;
        }
        return foreign.get() + twice.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    private void holdUp(Balancer balancer) throws IOException, InterruptedException {
        if (running.trouble()) {
            balancer.signal("STOP");
            Threads.sleep(HOLD_MILLIS);
            balancer.signal("CONT");
        }
    }

    // ---- Clients -------------------------------------------------------------------------------------

    private void sendRequests(int port, int client) {
        for (int connection = 0; !ended; connection++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(BUDGET_MILLIS + 1_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                for (int number = 0; open && !ended; number++) {
                    open = sendRequest(socket.getOutputStream(), in, client + "-" + connection + "-" + number);
                }
            } catch (IOException e) {
                record.line("client " + client + ": " + e);
            }
        }
    }

    /** Sends one request and checks its answer; false if the connection ends. */
    private boolean sendRequest(OutputStream out, InputStream in, String id) throws IOException {
        record.line("sent " + id);
        out.write(Requests.tradeConfirm(id, BUDGET_MILLIS, ""));
        Http.Head head = Http.readHead(in);
        if (head == null) {
            return false; // closed between requests: a client sends the request again on a new connection
        }
        String body = new String(Http.readBody(head, in), StandardCharsets.ISO_8859_1);
        record.line("answered " + id + ": " + head.status() + " " + body);
        if (head.status() != 200) {
            notServed.incrementAndGet();
        } else if (body.equals("done " + id)) {
            served.incrementAndGet();
        } else {
            foreign.incrementAndGet();
            record.line("FOREIGN: request " + id + " was answered 200 with '" + body + "'");
        }
        return !head.field("Connection").equalsIgnoreCase("close");
    }

    // ---- Upstream ------------------------------------------------------------------------------------

    private String startUpstream() throws IOException {
        ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(() -> accept(listener));
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept(ServerSocket listener) {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start(() -> serve(socket));
            }
        } catch (IOException e) {
            record.line("upstream: " + e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                Http.readBody(head, in);
                byte[] answer = work(head.field("X-Call-Id"));
                out.write(answer);
                if (answers.incrementAndGet() % SECOND_COPY_PERIOD == 0 && running.trouble()) {
                    sendSecondCopy(in, out, answer, head.field("X-Call-Id"));
                }
            }
        } catch (IOException e) {
            return; // the balancer has closed the connection
        }
    }

    /** Runs a request, or turns it away; returns the answer. */
    private byte[] work(String id) {
        if (random.nextInt(TURNED_AWAY_PERIOD) == 0) {
            record.line("turned away " + id);
            return Upstream.response("503 Service Unavailable", "X-Rejected: 1\r\n" + LOAD, "");
        }
        record.line("run " + id);
        if (!ran.add(id)) {
            twice.incrementAndGet();
            record.line("TWICE: request " + id + " of a class that must never run twice runs again");
        }
        Threads.sleep(WORK_MILLIS + random.nextInt(2 * WORK_MILLIS));
        return Upstream.response("200 OK", LOAD, "done " + id);
    }

    /** Sends a copy while nothing else waits on the connection; drops it if this thread was late. */
    private void sendSecondCopy(InputStream in, OutputStream out, byte[] answer, String id) throws IOException {
        long sentNanos = System.nanoTime();
        Threads.sleep(LATE_MILLIS);
        if (in.available() == 0 && System.nanoTime() - sentNanos < MAX_LATE_MILLIS * 1_000_000L) {
            out.write(answer);
            copies.incrementAndGet();
            record.line("second copy of the answer to " + id);
        }
    }
}
