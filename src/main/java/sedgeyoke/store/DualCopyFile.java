package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * A small record that is replaced as a whole and must never be lost or go back: two copies, written and forced one
 * after the other, so that a save that was cut off, and any one copy that has rotted, went elsewhere or reads as it was
 * before, leaves the other. Once a save has returned, both copies hold it.
 */
public final class DualCopyFile {
    /** What a record may hold; far more than any of ours does. */
    public static final int LONGEST = 64 * 1024;

    private static final int MAGIC = 0x53594c54;
    private static final int HEAD = 20;

    private final Disk disk;
    private final String[] names;
    private long sequence;
    private byte[] content;
    private boolean damaged;

    private DualCopyFile(Disk disk, String name) {
        this.disk = disk;
        this.names = new String[] {name + "-a", name + "-b"};
    }

    /** Reads both copies, and writes the one that is behind anew. */
    public static DualCopyFile open(Disk disk, String name) throws DiskException {
        DualCopyFile twin = new DualCopyFile(disk, name);
        long[] found = {twin.read(0), twin.read(1)};
        if (twin.content != null && found[0] != found[1]) {
            twin.write(found[0] < found[1] ? 0 : 1);
        }
        return twin;
    }

    /** Takes in one copy if it is newer; returns its number, 0 if there is none and -1 if it is no good. */
    private long read(int copy) throws DiskException {
        long length = disk.length(names[copy]);
        if (length < 0) {
            return 0;
        }
        ByteBuffer bytes = ByteBuffer.wrap(disk.read(names[copy], 0, HEAD + LONGEST));
        if (bytes.remaining() >= HEAD && bytes.getInt() == MAGIC) {
            int size = bytes.getInt();
            long number = bytes.getLong();
            int sum = bytes.getInt();
            if (size >= 0 && size <= bytes.remaining()) {
                byte[] payload = new byte[size];
                bytes.get(payload);
                if (sum == new Checksum().with(number, size).with(payload).value()) {
                    if (number > sequence) {
                        sequence = number;
                        content = payload;
                    }
                    return number;
                }
            }
        }
        damaged = true;
        return -1;
    }

    private void write(int copy) throws DiskException {
        int sum = new Checksum().with(sequence, content.length).with(content).value();
        byte[] bytes = ByteBuffer.allocate(HEAD + content.length)
                .putInt(MAGIC)
                .putInt(content.length)
                .putLong(sequence)
                .putInt(sum)
                .put(content)
                .array();
        if (disk.length(names[copy]) < 0) {
            disk.allocate(names[copy], HEAD);
            disk.forceNames();
        }
        disk.write(names[copy], 0, bytes);
        disk.force(names[copy]);
    }

    /** What tells these two files from copies of them. */
    public String identity() throws DiskException {
        return disk.identity(names[0]) + " " + disk.identity(names[1]);
    }

    /** What was saved last; empty if nothing ever was, or if nothing that is left can be believed. */
    public Optional<byte[]> content() {
        return Optional.ofNullable(content);
    }

    /** What is wrong where no copy can be believed although there are some; null if nothing is. */
    public Corruption damage() {
        return content == null && damaged
                ? new Corruption(names[0], 0, -1, "neither this copy nor " + names[1] + " is whole")
                : null;
    }

    /** Replaces the record. After a fault the folder is not to be used any more. */
    public void save(byte[] next) throws DiskException {
        if (next.length > LONGEST) {
            throw new IllegalArgumentException(next.length + " bytes: " + LONGEST + " at most");
        }
        sequence++;
        content = next.clone();
        write(0);
        write(1);
    }
}
