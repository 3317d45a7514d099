package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 6: beside the usual clients there are bad ones that send hundreds of requests at once, one time each. The
 * balancer must not crash, and each usual request must get its answer, at most half a second after its time.
 */
public final class ManyCommands {
    private static final int UPSTREAMS = 10;
    private static final int USUAL_CLIENTS = 10;
    private static final int BAD_CLIENTS = 120;
    private static final int REQUESTS_AT_ONCE = 600;
    private static final int WORK_MILLIS = 50;
    private static final int BUDGET_MILLIS = 2_500;
    /** Half a second after its time, and the slack of time limits on sockets, a request is lost. */
    private static final int LOST_MILLIS = BUDGET_MILLIS + 500 + 50;
    private static final int QUIET_MILLIS = 3_000;
    private static final int PLAY_MILLIS = 30_000;
    private static final int PAUSE_MILLIS = 50;
    private static final int MAX_RECORDED = 50;

    private final Case running;
    private final Record record;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean ended;

    private ManyCommands(Case running) {
        this.running = running;
        this.record = running.record();
    }

    /** Plays the case. */
    public static void main(String[] args) {
        Case.main(args, running -> new ManyCommands(running).play());
    }

    private int play() throws IOException, InterruptedException {
        Discovery discovery = new Discovery();
        for (int number = 0; number < UPSTREAMS; number++) {
            discovery.set("s-" + number, new Upstream(new OrderNode(WORK_MILLIS)).address(), "a", "up", 0);
        }
        int port = Balancer.freePort();
        Balancer balancer = running.start(
                port,
                Settings.balancer(port, null, discovery.address(), discovery.list(-1), Settings.siteClasses()));
        for (int client = 0; client < USUAL_CLIENTS; client++) {
            int number = client;
            Threads.start(() -> sendUsualRequests(port, number));
        }
        Threads.sleep(QUIET_MILLIS);
        record.line("usual requests answered before: " + answered + ", lost: " + lost);
        if (running.trouble()) {
            record.line(BAD_CLIENTS + " bad clients send " + REQUESTS_AT_ONCE + " requests each");
            for (int client = 0; client < BAD_CLIENTS; client++) {
                int number = client;
                Threads.start(() -> sendAtOnce(port, number));
            }
        }
        for (int waited = 0; waited < PLAY_MILLIS && balancer.process().isAlive(); waited += PAUSE_MILLIS) {
            Threads.sleep(PAUSE_MILLIS);
        }
        return result(balancer);
    }

    private int result(Balancer balancer) throws IOException {
        boolean alive = balancer.process().isAlive();
        record.line("usual requests answered: " + answered + ", lost: " + lost);
        ended = true;
        if (!alive) {
            record.line("CRASHED: the balancer has ended with " + balancer.process().exitValue() + "; its log:");
            balancer.log().lines().filter(line -> !line.startsWith("\t")).forEach(record::line);
        }
        if (answered.get() == 0) {
            return Case.COULD_NOT_RUN;
        }
        return !alive || lost.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    // ---- Usual clients -------------------------------------------------------------------------------

    private void sendUsualRequests(int port, int client) {
        for (int number = 0; !ended; number++) {
            String id = "usual-" + client + "-" + number;
            try (Socket socket = new Socket("127.0.0.1", port)) {
                sendUsualRequest(socket, id);
            } catch (IOException e) {
                lost(id, e.toString());
            }
            Threads.sleep(PAUSE_MILLIS);
        }
    }

    private void sendUsualRequest(Socket socket, String id) throws IOException {
        socket.setSoTimeout(LOST_MILLIS);
        record.line("sent " + id);
        socket.getOutputStream().write(Requests.tradeConfirm(id, BUDGET_MILLIS, ""));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        try {
            Http.Head head = Http.readHead(in);
            if (head == null) {
                lost(id, "the connection was closed with no answer");
                return;
            }
            Http.readBody(head, in);
            answered.incrementAndGet();
            record.line("answered " + id + ": " + head.status());
        } catch (SocketTimeoutException e) {
            lost(id, "no answer " + LOST_MILLIS + " ms after it was sent");
        }
    }

    private void lost(String id, String what) {
        if (!ended && lost.incrementAndGet() <= MAX_RECORDED) {
            record.line("LOST: " + id + ": " + what);
        }
    }

    // ---- Bad clients ---------------------------------------------------------------------------------

    private void sendAtOnce(int port, int client) {
        StringBuilder requests = new StringBuilder();
        for (int number = 0; number < REQUESTS_AT_ONCE; number++) {
            requests.append("POST /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: ")
                    .append(client)
                    .append('-')
                    .append(number)
                    .append("\r\nX-Call-Class: trade-confirm\r\nX-Caller: a\r\nX-Again: 1\r\n")
                    .append("X-Budget-Ms: 2500\r\n\r\n");
        }
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.ISO_8859_1));
            byte[] answers = new byte[1 << 14];
            while (!ended && socket.getInputStream().read(answers) >= 0) {
                continue;
            }
        } catch (IOException e) {
            return; // such a client is owed an error or a close
        }
    }
}
