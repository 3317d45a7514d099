package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A stand-in for the agent of discovery on the balancer's machine: answers a call for the list at once, and a watch as
 * soon as there is something newer or its time is up.
 */
public final class Discovery implements AutoCloseable {
    private final ServerSocket listener;
    private final Map<String, Member> members = new LinkedHashMap<>();
    private long revision = 1;

    private record Member(String address, String zone, String phase, long launchedMillis, long revision) {
        String json(String id) {
            return "{\"id\":\"" + id + "\",\"host_port\":\"" + address + "\",\"locality\":\"" + zone
                    + "\",\"flavor\":\"m\",\"cell\":1,\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":"
                    + launchedMillis + "}";
        }
    }

    /** Listens on a free loopback port. */
    public Discovery() throws IOException {
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    /** The address for the configuration. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Adds or changes an entry. */
    public synchronized void set(String id, String address, String zone, String phase, long launchedMillis) {
        revision++;
        members.put(id, new Member(address, zone, phase, launchedMillis, revision));
        notifyAll();
    }

    /** The complete list, or the changes after a revision. */
    public synchronized String list(long after) {
        StringBuilder entries = new StringBuilder();
        members.forEach((id, member) -> {
            if (member.revision() > after && (after >= 0 || !member.phase().equals("removed"))) {
                entries.append(entries.length() == 0 ? "" : ",").append(member.json(id));
            }
        });
        return "{\"revision\":" + revision + ",\"complete\":" + (after < 0) + ",\"members\":[" + entries + "]}";
    }

    private synchronized String watch(long after, long holdMillis) throws InterruptedException {
        long end = System.nanoTime() + holdMillis * 1_000_000;
        long left = holdMillis;
        while (revision <= after && left > 0) {
            wait(left);
            left = (end - System.nanoTime()) / 1_000_000;
        }
        return list(after);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start(() -> serve(socket));
            }
        } catch (IOException closed) {
            return; // the case has ended
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                out.write(Upstream.response(
                        "200 OK", "", watch(number(head.target(), "from", -1), number(head.target(), "hold_ms", 0))));
            }
        } catch (IOException | InterruptedException e) {
            return; // the balancer has closed the connection
        }
    }

    private static long number(String target, String name, long absent) {
        for (String parameter : target.substring(target.indexOf('?') + 1).split("&")) {
            if (parameter.startsWith(name + "=")) {
                return Long.parseLong(parameter.substring(name.length() + 1));
            }
        }
        return absent;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
