package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Stores snapshots, each in a file named after the last record that it covers. A file gets this name only after its
 * content is durable, so that an incomplete file of this name is a {@link Corruption}. The two newest snapshots are
 * retained. To be used on one thread.
 */
public final class SnapshotStore {
    private static final String PREFIX = "snap-";
    private static final String TEMPORARY_PREFIX = "part-";
    private static final int MAGIC = 0x53594c53;
    private static final int HEADER_BYTES = 24;
    private static final int RETAINED_SNAPSHOTS = 2;
    private static final int MAX_ARRAY_LENGTH = Integer.MAX_VALUE - 8;
    private static final int HEX_RADIX = 16;

    private final Disk disk;
    private final long directoryIdentity;
    private final List<Corruption> corruptions = new ArrayList<>();

    /**
     * A stored snapshot.
     *
     * @param lastIndex index of the last record that it covers
     * @param state content, not interpreted by the store
     */
    public record StoredSnapshot(long lastIndex, byte[] state) {}

    /** Creates the store; snapshots written under another {@code directoryIdentity} are invalid. */
    public SnapshotStore(Disk disk, long directoryIdentity) {
        this.disk = disk;
        this.directoryIdentity = directoryIdentity;
    }

    private static String fileName(String prefix, long lastIndex) {
        return prefix + String.format(Locale.ROOT, "%016x", lastIndex);
    }

    private List<Long> storedIndexesNewestFirst() throws DiskException {
        return disk.fileNames().stream()
                .filter(name -> name.matches(PREFIX + "[0-9a-f]{16}"))
                .map(name -> Long.parseUnsignedLong(name.substring(PREFIX.length()), HEX_RADIX))
                .sorted(Comparator.reverseOrder())
                .toList();
    }

    /** Returns the newest valid snapshot, and deletes the temporary files of interrupted {@link #save} calls. */
    public Optional<StoredSnapshot> newest() throws DiskException {
        corruptions.clear();
        for (String name : disk.fileNames()) {
            if (name.startsWith(TEMPORARY_PREFIX)) {
                disk.delete(name);
            }
        }
        for (long lastIndex : storedIndexesNewestFirst()) {
            Optional<StoredSnapshot> snapshot = read(lastIndex);
            if (snapshot.isPresent()) {
                return snapshot;
            }
            corruptions.add(new Corruption(
                    Corruption.Kind.INVALID_SNAPSHOT,
                    fileName(PREFIX, lastIndex),
                    0,
                    Corruption.NO_RECORD,
                    "the snapshot is invalid"));
        }
        return Optional.empty();
    }

    private Optional<StoredSnapshot> read(long lastIndex) throws DiskException {
        String file = fileName(PREFIX, lastIndex);
        long length = disk.length(file);
        if (length < HEADER_BYTES || length > MAX_ARRAY_LENGTH) {
            return Optional.empty();
        }
        ByteBuffer bytes = ByteBuffer.wrap(disk.read(file, 0, (int) length));
        if (bytes.remaining() < HEADER_BYTES || bytes.getInt() != MAGIC) {
            return Optional.empty();
        }
        int checksum = bytes.getInt();
        long storedIndex = bytes.getLong();
        long size = bytes.getLong();
        if (storedIndex != lastIndex || size != bytes.remaining()) {
            return Optional.empty();
        }
        byte[] state = new byte[(int) size];
        bytes.get(state);
        StoredSnapshot snapshot = new StoredSnapshot(lastIndex, state);
        return checksum == checksum(snapshot) ? Optional.of(snapshot) : Optional.empty();
    }

    private int checksum(StoredSnapshot snapshot) {
        return new Checksum()
                .with(directoryIdentity, snapshot.lastIndex(), snapshot.state().length)
                .with(snapshot.state())
                .value();
    }

    /** Returns the invalid snapshots that the last call of {@link #newest} found. */
    public List<Corruption> corruptions() {
        return List.copyOf(corruptions);
    }

    /** Saves a snapshot durably and deletes all but the two newest. */
    public void save(StoredSnapshot snapshot) throws DiskException {
        String temporary = fileName(TEMPORARY_PREFIX, snapshot.lastIndex());
        disk.allocate(temporary, 0);
        disk.write(temporary, 0, encode(snapshot));
        disk.fsync(temporary);
        disk.rename(temporary, fileName(PREFIX, snapshot.lastIndex()));
        disk.fsyncDirectory();
        List<Long> stored = storedIndexesNewestFirst();
        for (long outdated : stored.subList(Math.min(RETAINED_SNAPSHOTS, stored.size()), stored.size())) {
            disk.delete(fileName(PREFIX, outdated));
        }
    }

    private byte[] encode(StoredSnapshot snapshot) {
        return ByteBuffer.allocate(HEADER_BYTES + snapshot.state().length)
                .putInt(MAGIC)
                .putInt(checksum(snapshot))
                .putLong(snapshot.lastIndex())
                .putLong(snapshot.state().length)
                .put(snapshot.state())
                .array();
    }
}
