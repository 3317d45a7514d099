package sedgeyoke.proxy.cordon;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

/**
 * The upstreams that operators have cordoned, that is taken out of service manually. The set survives an upgrade: the
 * two processes of a balancer share it in a file, and each reads what the other has written. The file is in an
 * in-memory folder, so that reading and writing it does not block the event loop. It is replaced atomically, and an
 * invalid file changes nothing. Not thread-safe.
 */
public final class CordonStore {
    /** Limits how many ids that may never be used again are stored; operators cordon far fewer. */
    static final int MAX_CORDONS = 1_000;

    private static final String FIRST_LINE = "sedgeyoke cordons 1";
    private static final String LAST_LINE = "end";

    private final Path file;
    private CordonSet cordons = CordonSet.EMPTY;
    /** Content of the file when it was last read or written. */
    private String lastContent = "";

    /** {@code file} may be null; the set is then lost when the process ends. */
    public CordonStore(Path file) {
        this.file = file;
    }

    /** The cordons as last read or changed. */
    public CordonSet cordons() {
        return cordons;
    }

    /**
     * Cordons an upstream and writes the file; an upstream that is already cordoned keeps its time.
     *
     * @return false if there are too many cordons
     * @throws IOException if the file cannot be read or written; the set may then be that of the file
     */
    public boolean cordon(String id, long nowMicros) throws IOException {
        return change(() -> add(id, nowMicros));
    }

    /**
     * Uncordons an upstream and writes the file, even if the upstream is not cordoned.
     *
     * @return whether the change was applied
     * @throws IOException if the file cannot be read or written; the set may then be that of the file
     */
    public boolean uncordon(String id) throws IOException {
        return change(() -> remove(id));
    }

    /** Applies a change to what the other process last wrote, and writes the result if the change was applied. */
    private boolean change(BooleanSupplier change) throws IOException {
        if (file == null) {
            return change.getAsBoolean();
        }
        Path lock = file.resolveSibling(file.getFileName() + ".lock");
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock fileLock = channel.lock()) { // the other process holds it only for a moment
            refresh();
            boolean applied = fileLock.isValid() && change.getAsBoolean();
            if (applied) {
                write();
            }
            return applied;
        }
    }

    private boolean add(String id, long nowMicros) {
        if (cordons.contains(id)) {
            return true;
        }
        if (cordons.size() >= MAX_CORDONS) {
            return false;
        }
        cordons = cordons.with(id, nowMicros);
        return true;
    }

    private boolean remove(String id) {
        cordons = cordons.without(id);
        return true;
    }

    private void write() throws IOException {
        StringBuilder text = new StringBuilder(FIRST_LINE).append('\n');
        cordons.sinceMicrosById()
                .forEach((id, sinceMicros) ->
                        text.append(sinceMicros).append(' ').append(id).append('\n'));
        text.append(LAST_LINE).append('\n');
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        lastContent = text.toString();
    }

    /**
     * Reads what the other process has written.
     *
     * @return whether the set has changed
     * @throws InvalidCordonFileException if the content of the file is invalid; the set stays unchanged
     * @throws IOException if the file cannot be read; the set stays unchanged
     */
    public boolean refresh() throws IOException {
        if (file == null) {
            return false;
        }
        String text;
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
        } catch (NoSuchFileException e) {
            return false;
        }
        if (text.equals(lastContent)) {
            return false;
        }
        lastContent = text; // even if invalid, so that each content is reported once
        CordonSet found = parse(text);
        boolean changed = !found.equals(cordons);
        cordons = found;
        return changed;
    }

    private CordonSet parse(String text) throws IOException {
        List<String> lines = text.lines().toList();
        if (lines.size() < 2
                || lines.size() > MAX_CORDONS + 2
                || !lines.get(0).equals(FIRST_LINE)
                || !lines.get(lines.size() - 1).equals(LAST_LINE)) {
            throw new InvalidCordonFileException(file, "incomplete, or of another version");
        }
        SortedMap<String, Long> found = new TreeMap<>();
        for (int i = 1; i < lines.size() - 1; i++) {
            String[] parts = lines.get(i).split(" ", 2);
            try {
                found.put(parts[1], Long.parseLong(parts[0]));
            } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
                throw new InvalidCordonFileException(file, i + 1, "not a time and an id", e);
            }
        }
        return new CordonSet(found);
    }
}
