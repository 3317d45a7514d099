package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Whole states, each in a file of its own that is named by the last record it covers. A file gets its name only once
 * its content has been forced, so one that is not whole has rotted. The two newest are kept.
 */
public final class Snapshots {
    private static final String NAME = "snap-";
    private static final String PART = "part-";
    private static final int MAGIC = 0x53594c53;
    private static final int HEAD = 24;
    private static final int KEPT = 2;

    private final Disk disk;
    private final long identity;
    private final List<Corruption> damage = new ArrayList<>();

    /** A state and the last record that it covers. */
    public record Snapshot(long covered, byte[] state) {}

    /** {@code identity}: of the folder; a snapshot of another one is none. */
    public Snapshots(Disk disk, long identity) {
        this.disk = disk;
        this.identity = identity;
    }

    private static String name(String kind, long covered) {
        return kind + String.format(Locale.ROOT, "%016x", covered);
    }

    private List<Long> found() throws DiskException {
        return disk.names().stream()
                .filter(n -> n.matches(NAME + "[0-9a-f]{16}"))
                .map(n -> Long.parseUnsignedLong(n.substring(NAME.length()), 16))
                .sorted((a, b) -> Long.compare(b, a))
                .toList();
    }

    /** The newest that is whole; those that are not are damage. */
    public Optional<Snapshot> newest() throws DiskException {
        damage.clear();
        for (String name : disk.names()) {
            if (name.startsWith(PART)) {
                disk.delete(name); // a save that was cut off
            }
        }
        for (long covered : found()) {
            byte[] state = read(covered);
            if (state != null) {
                return Optional.of(new Snapshot(covered, state));
            }
            damage.add(new Corruption(name(NAME, covered), 0, -1, "a snapshot that is not whole"));
        }
        return Optional.empty();
    }

    private byte[] read(long covered) throws DiskException {
        String file = name(NAME, covered);
        long length = disk.length(file);
        if (length < HEAD || length > Integer.MAX_VALUE - 8) {
            return null;
        }
        ByteBuffer bytes = ByteBuffer.wrap(disk.read(file, 0, (int) length));
        if (bytes.remaining() < HEAD || bytes.getInt() != MAGIC) {
            return null;
        }
        int sum = bytes.getInt();
        long said = bytes.getLong();
        long size = bytes.getLong();
        if (said != covered || size != bytes.remaining()) {
            return null;
        }
        byte[] state = new byte[(int) size];
        bytes.get(state);
        return sum == sum(covered, state) ? state : null;
    }

    private int sum(long covered, byte[] state) {
        return new Checksum().with(identity, covered, state.length).with(state).value();
    }

    /** What {@link #newest} could not believe. */
    public List<Corruption> damage() {
        return List.copyOf(damage);
    }

    /** Saves a state; it is sure to be found again once this has returned. */
    public void save(Snapshot s) throws DiskException {
        String part = name(PART, s.covered());
        disk.allocate(part, 0);
        disk.write(
                part,
                0,
                ByteBuffer.allocate(HEAD + s.state().length)
                        .putInt(MAGIC)
                        .putInt(sum(s.covered(), s.state()))
                        .putLong(s.covered())
                        .putLong(s.state().length)
                        .put(s.state())
                        .array());
        disk.force(part);
        disk.rename(part, name(NAME, s.covered()));
        disk.forceNames();
        List<Long> all = found();
        for (long old : all.subList(Math.min(KEPT, all.size()), all.size())) {
            disk.delete(name(NAME, old));
        }
    }
}
