import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;

/**
 * Case 3: 24 clients send long requests to six order nodes. When all are being forwarded, one node hangs (SIGSTOP), and
 * goes on 20 s later. A request whose last byte the balancer's machine has accepted has to get its final answer before
 * the client's time is up and half a second more; what is still in the client's own buffer is not judged.
 */
public final class Case3 {
    private static final int UPSTREAMS = 6;
    private static final int CLIENTS = 24;
    private static final long BUDGET_MS = 2_500;
    /** STANDING: later than half a second after its time, a request is lost. */
    private static final long LOST_MS = BUDGET_MS + 500;
    /** BRIEF: nodes go silent for 9.1 to 29 s. */
    private static final long SILENT_MS = 20_000;
    /** DAYS: bodies reach 32 MB. */
    private static final long SHORTEST_BYTES = 4_400_000;

    private static final long STEP_BYTES = 100_000;
    private static final int FIRST_BYTES = 200_000;
    private static final int ROUNDS = 3;
    private static final int PART_BYTES = 16_000;

    private final Rig rig;
    private final int port;
    /** The node that has begun each request. */
    private final Map<String, String> begun = new ConcurrentHashMap<>();

    /** One client with its request; all times are milliseconds of the rig. */
    private final class Client {
        private final String id;
        private final long length;
        private final CountDownLatch rest;
        private volatile Socket socket;
        /** When the balancer's machine had accepted the last byte; negative before. */
        private volatile long takenMs = -1;
        /** When the head of the answer had come; negative before. */
        private volatile long answeredMs = -1;
        private volatile boolean written;
        private volatile String end = "no answer";

        Client(String id, long length, CountDownLatch rest) {
            this.id = id;
            this.length = length;
            this.rest = rest;
        }

        void run() {
            try (Socket connected = Rig.connect(port, 0)) {
                socket = connected;
                connected.setSoTimeout((int) (SILENT_MS + 10_000));
                Rig.write(connected, Rig.confirm(id, BUDGET_MS, length));
                Rig.daemon(this::send);
                String head = Rig.readHead(connected.getInputStream());
                if (!head.isEmpty()) {
                    answeredMs = rig.now();
                }
                end = head.isEmpty() ? "a close without an answer" : head.substring(9, 12);
            } catch (IOException e) {
                end = String.valueOf(e.getMessage());
            }
            rig.note(id + " ended: " + end);
        }

        private void send() {
            try {
                OutputStream out = socket.getOutputStream();
                byte[] part = new byte[PART_BYTES];
                long sent = 0;
                while (sent < length) {
                    if (sent >= FIRST_BYTES) {
                        rest.await();
                    }
                    int next = (int) Math.min(part.length, length - sent);
                    out.write(part, 0, next);
                    sent += next;
                }
                written = true;
                rig.note(id + " has written all of its " + length + " bytes");
            } catch (IOException e) {
                rig.note(id + " could not send: " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Sets the time at which nothing is left to send or to be acknowledged by the balancer's machine. */
        void checkTaken() throws IOException {
            if (takenMs < 0 && written && (answeredMs >= 0 || unacknowledged(socket.getLocalPort(), port) == 0)) {
                takenMs = rig.now();
                rig.note(id + " is taken: its last byte is acknowledged");
            }
        }

        boolean isLost() {
            return takenMs >= 0
                    && (answeredMs < 0 ? rig.now() : answeredMs) > takenMs + LOST_MS;
        }
    }

    private Case3(Rig rig, int port) {
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
        int port = Rig.freePort();
        Case3 test = new Case3(rig, port);
        List<String> members = new ArrayList<>();
        Map<String, Process> upstreams = new HashMap<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            int upstream = Rig.freePort();
            String id = "n" + i;
            members.add(Rig.member(id, upstream));
            upstreams.put(id, rig.startUpstream(id, upstream, 200, line -> test.record(id, line)));
        }
        int discovery = Rig.freePort();
        Rig.discovery(discovery, members);
        Process balancer =
                rig.startBalancer("b1", port, Rig.config("b1", port, discovery, Rig.freePort(), members));
        int lost = 0;
        int judged = 0;
        for (int round = 0; round < ROUNDS && lost == 0; round++) {
            List<Client> clients = test.round(round, upstreams);
            lost += (int) clients.stream().filter(Client::isLost).count();
            judged += (int) clients.stream().filter(client -> client.takenMs >= 0).count();
        }
        rig.noteLog("b1");
        rig.note("balancer alive: " + balancer.isAlive());
        rig.note(judged + " requests taken, " + lost + " of them lost");
        if (judged == 0) {
            return 2;
        }
        return lost > 0 || !balancer.isAlive() ? 1 : 0;
    }

    private void record(String upstream, String line) {
        if (line.startsWith("begin ")) {
            begun.put(line.substring("begin ".length()), upstream);
        }
    }

    /** Sends all requests, lets a node hang in the middle, and waits until it has gone on and all is over. */
    private List<Client> round(int round, Map<String, Process> upstreams) throws IOException, InterruptedException {
        CountDownLatch rest = new CountDownLatch(1);
        List<Client> clients = new ArrayList<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Client client = new Client("r" + round + "c" + i, SHORTEST_BYTES + i * STEP_BYTES, rest);
            clients.add(client);
            threads.add(Rig.daemon(client::run));
            Thread.sleep(20);
        }
        Thread.sleep(1_000);
        String hung = busiest(round);
        if (rig.trouble) {
            Rig.signal("STOP", upstreams.get(hung));
            rig.note(hung + " hangs");
        }
        long stopped = rig.now();
        rest.countDown();
        boolean over = false;
        while (rig.now() < stopped + SILENT_MS && !(over && !rig.trouble)) {
            over = true;
            for (Client client : clients) {
                client.checkTaken();
                over &= client.answeredMs >= 0;
            }
            Thread.sleep(50);
        }
        for (Client client : clients) {
            rig.note(client.id + " at " + begun.get(client.id) + ": " + client.length + " bytes, taken at "
                    + client.takenMs + ", answered at " + client.answeredMs + (client.isLost() ? " LOST" : ""));
        }
        if (rig.trouble) {
            Rig.signal("CONT", upstreams.get(hung));
            rig.note(hung + " goes on");
        }
        for (Thread thread : threads) {
            thread.join(8_000);
        }
        return clients;
    }

    /** The node with the most requests of a round. */
    private String busiest(int round) throws IOException {
        Map<String, Integer> counts = new HashMap<>();
        begun.forEach((id, upstream) -> {
            if (id.startsWith("r" + round + "c")) {
                counts.merge(upstream, 1, Integer::sum);
            }
        });
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow(() -> new IOException("no request was forwarded"))
                .getKey();
    }

    /** The bytes that the client's kernel holds: not sent, or not acknowledged by the other side. */
    private static long unacknowledged(int local, int remote) throws IOException {
        String from = String.format(Locale.ROOT, ":%04X", local);
        String to = String.format(Locale.ROOT, ":%04X", remote);
        for (String table : List.of("/proc/net/tcp", "/proc/net/tcp6")) {
            for (String line : Files.readAllLines(Path.of(table))) {
                String[] columns = line.trim().split("\\s+");
                if (columns.length > 4 && columns[1].endsWith(from) && columns[2].endsWith(to)) {
                    return Long.parseLong(columns[4].substring(0, columns[4].indexOf(':')), 16);
                }
            }
        }
        return Long.MAX_VALUE; // the connection has ended
    }
}
