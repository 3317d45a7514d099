package sedgeyoke.proxy;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The upstreams that operators have taken out of service by hand. The set outlives an upgrade: two processes of one
 * balancer share it in a file of their folder, and each takes over what the other has written. The folder counts as
 * memory (DEPLOY, "deploy/balancer.toml"), so reading and writing it is quick. The file is replaced as a whole, and
 * what cannot be read changes nothing. To be used on one thread.
 */
final class CordonStore {
    /** Far more than anyone takes out by hand; a bound on what is kept of ids that may never come back. */
    static final int MOST = 1_000;

    private static final String FIRST_LINE = "sedgeyoke cordons 1";
    private static final String LAST_LINE = "end";

    private final Path file;
    private Map<String, Long> out = Map.of();
    private String read = "";

    /** {@code file} may be null: then the set ends with the process. */
    CordonStore(Path file) {
        this.file = file;
    }

    /** Ids and since when each is out, on the module's clock, which is the wall clock of the start. */
    Map<String, Long> out() {
        return out;
    }

    /** Takes an upstream out or gives it back; a second time changes nothing. False where there is no room for more. */
    boolean set(String id, boolean cordoned, long now) throws IOException {
        if (file == null) {
            return apply(id, cordoned, now);
        }
        Path lock = file.resolveSibling(file.getFileName() + ".lock");
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock held = channel.lock()) { // two processes may be told at once; each holds it for a moment
            refresh();
            boolean room = held.isValid() && apply(id, cordoned, now);
            if (room) {
                write();
            }
            return room;
        }
    }

    private boolean apply(String id, boolean cordoned, long now) {
        if (cordoned == out.containsKey(id)) {
            return true;
        } else if (cordoned && out.size() >= MOST) {
            return false;
        }
        Map<String, Long> changed = new TreeMap<>(out);
        if (cordoned) {
            changed.put(id, now);
        } else {
            changed.remove(id);
        }
        out = Map.copyOf(changed);
        return true;
    }

    private void write() throws IOException {
        StringBuilder text = new StringBuilder(FIRST_LINE).append('\n');
        new TreeMap<>(out)
                .forEach(
                        (id, since) -> text.append(since).append(' ').append(id).append('\n'));
        text.append(LAST_LINE).append('\n');
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        read = text.toString();
    }

    /** Takes over what the other process has written; true if that changes the set. */
    boolean refresh() throws IOException {
        if (file == null) {
            return false;
        }
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            return false;
        }
        if (text.equals(read)) {
            return false;
        }
        read = text; // also where it is no good: one complaint for each content
        Map<String, Long> found = parse(text);
        boolean changed = !found.equals(out);
        out = found;
        return changed;
    }

    private Map<String, Long> parse(String text) throws IOException {
        List<String> lines = text.lines().toList();
        if (lines.size() < 2
                || lines.size() > MOST + 2
                || !lines.get(0).equals(FIRST_LINE)
                || !lines.get(lines.size() - 1).equals(LAST_LINE)) {
            throw new IOException(file + ": not whole, or of another version");
        }
        Map<String, Long> found = new LinkedHashMap<>();
        for (int i = 1; i < lines.size() - 1; i++) {
            String[] parts = lines.get(i).split(" ", 2);
            try {
                found.put(parts[1], Long.parseLong(parts[0]));
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                throw new IOException(file + ":" + (i + 1) + ": not a time and an id", e);
            }
        }
        return Map.copyOf(found);
    }
}
