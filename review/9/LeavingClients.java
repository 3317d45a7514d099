package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 9: clients send requests with long bodies and leave while the requests wait for a busy upstream. No attempt may
 * begin more than 0.1 s after its client has closed the connection.
 */
public final class LeavingClients {
    private static final int BUSY_CLIENTS = 8;
    private static final int LEAVING_CLIENTS = 4;
    private static final int PLAY_MILLIS = 45_000;
    private static final int WORK_MILLIS = 300;
    private static final int CORES = 2;
    private static final int BUDGET_MILLIS = 2_500;
    private static final int LEAVES_AFTER_MILLIS = 20;
    private static final int PAUSE_MILLIS = 150;
    /** 0.1 s after the close, and the slack of time limits on sockets. */
    private static final int LATEST_BEGIN_MILLIS = 150;
    private static final int LEAST_BODY_BYTES = 200_000;
    private static final int BODY_STEP_BYTES = 37_000;
    private static final int BODY_STEPS = 25;

    private final Case running;
    private final Record record;
    private final Semaphore cores = new Semaphore(CORES, true);
    private final Map<String, Long> leftAtMillis = new ConcurrentHashMap<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();
    private final AtomicInteger ranAfterLeave = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private volatile boolean ended;

    private LeavingClients(Case running) {
        this.running = running;
        this.record = running.record();
    }

    /** Plays the case. */
    public static void main(String[] args) {
        Case.main(args, running -> new LeavingClients(running).play());
    }

    private int play() throws IOException, InterruptedException {
        Discovery discovery = new Discovery();
        discovery.set("s-1", startUpstream(), "a", "up", 0);
        int port = Balancer.freePort();
        String ops = "127.0.0.1:" + Balancer.freePort();
        running.start(
                port, Settings.balancer(port, ops, discovery.address(), discovery.list(-1), Settings.siteClasses()));
        for (int client = 0; client < BUSY_CLIENTS; client++) {
            int number = client;
            Threads.start(() -> keepBusy(port, number));
        }
        for (int client = 0; client < LEAVING_CLIENTS; client++) {
            int number = client;
            Threads.start(() -> sendLongRequests(port, number));
        }
        Threads.sleep(PLAY_MILLIS);
        ended = true;
        record.line("long requests sent " + sent + ", run " + ran + ", cut off before their last byte " + cutOff
                + ", begun too late after their client had left and run " + ranAfterLeave + "; answered " + answered);
        if (sent.get() == 0 || answered.get() == 0) {
            return Case.COULD_NOT_RUN;
        }
        return ranAfterLeave.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    // ---- Clients -------------------------------------------------------------------------------------

    private void keepBusy(int port, int client) {
        for (int number = 0; !ended; number++) {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(BUDGET_MILLIS + 1_000);
                socket.getOutputStream()
                        .write(Requests.tradeConfirm("short-" + client + "-" + number, BUDGET_MILLIS, ""));
                Http.Head head = Http.readHead(socket.getInputStream());
                if (head != null && head.status() != 200) {
                    Threads.sleep(PAUSE_MILLIS);
                }
                answered.addAndGet(head == null ? 0 : 1);
                record.line("short-" + client + "-" + number + ": " + (head == null ? "closed" : head.start()));
            } catch (IOException e) {
                record.line("short request: " + e);
            }
        }
    }

    private void sendLongRequests(int port, int client) {
        for (int number = 0; !ended; number++) {
            String id = "long-" + client + "-" + number;
            int bytes = LEAST_BODY_BYTES + (number * LEAVING_CLIENTS + client) % BODY_STEPS * BODY_STEP_BYTES;
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.setSoTimeout(2 * BUDGET_MILLIS);
                socket.getOutputStream().write(Requests.tradeConfirm(id, BUDGET_MILLIS, "x".repeat(bytes)));
                sent.incrementAndGet();
                record.line("sent " + id + ", " + bytes + " bytes");
                if (running.trouble()) {
                    Threads.sleep(LEAVES_AFTER_MILLIS);
                } else {
                    Http.readHead(socket.getInputStream());
                }
            } catch (IOException e) {
                record.line(id + ": " + e);
            }
            leftAtMillis.put(id, record.now());
            record.line("client of " + id + " has closed its connection");
            Threads.sleep(PAUSE_MILLIS);
        }
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
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                long begunAtMillis = record.now();
                readBody(head, in);
                begin(head.field("X-Call-Id"), begunAtMillis);
                cores.acquire();
                Threads.sleep(WORK_MILLIS);
                cores.release();
                out.write(Upstream.response(
                        "200 OK", "X-Load-Report: {\"waiting\":1,\"cpu\":0.9,\"avg_ms\":300}\r\n", "done"));
            }
        } catch (IOException | InterruptedException e) {
            return; // the balancer has closed the connection
        }
    }

    private void readBody(Http.Head head, InputStream in) throws IOException {
        try {
            Http.readBody(head, in);
        } catch (IOException e) {
            cutOff.incrementAndGet();
            throw e;
        }
    }

    /** Called when the last byte of a request has come. */
    private void begin(String id, long begunAtMillis) {
        record.line("run " + id);
        if (id.startsWith("long")) {
            ran.incrementAndGet();
        }
        Long left = leftAtMillis.get(id);
        if (left != null && begunAtMillis - left > LATEST_BEGIN_MILLIS) {
            ranAfterLeave.incrementAndGet();
            record.line("AFTER LEAVE: " + id + ": its client left at " + left + " ms, the attempt began at "
                    + begunAtMillis + " ms, its last byte came at " + record.now() + " ms");
        }
    }
}
