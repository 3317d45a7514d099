package sedgeyoke.store;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * A small record that is replaced atomically and stored in two copies. A save writes the copies one after the other and
 * makes each durable, so that one valid copy remains if the save is interrupted, or if the other copy is lost, corrupt
 * or stale. After {@link #save} has returned, both copies hold the record. To be used on one thread.
 */
public final class DualCopyFile {
    /** Maximum size of the content in bytes. */
    public static final int MAX_CONTENT_BYTES = 64 * 1024;

    private static final int MAGIC = 0x53594c54;
    private static final int HEADER_BYTES = 20;
    private static final int COPIES = 2;

    private final Disk disk;
    private final String[] files;
    private long sequence;
    private byte[] content;
    private boolean anyCopyInvalid;

    /** One copy as read from its file. The copy with the higher sequence number is newer. */
    private record Copy(long sequence, byte[] content) {
        static final Copy MISSING = new Copy(0, null);
        static final Copy INVALID = new Copy(-1, null);

        boolean isInvalid() {
            return sequence < 0;
        }
    }

    private DualCopyFile(Disk disk, String name) {
        this.disk = disk;
        this.files = new String[] {name + "-a", name + "-b"};
    }

    /**
     * Reads both copies of the record with this name. If one is older, invalid or missing, it is overwritten with the
     * other.
     */
    public static DualCopyFile open(Disk disk, String name) throws DiskException {
        DualCopyFile file = new DualCopyFile(disk, name);
        long[] sequences = new long[COPIES];
        for (int i = 0; i < COPIES; i++) {
            Copy copy = file.read(i);
            sequences[i] = copy.sequence();
            file.anyCopyInvalid |= copy.isInvalid();
            if (copy.sequence() > file.sequence) {
                file.sequence = copy.sequence();
                file.content = copy.content();
            }
        }
        if (file.content != null && sequences[0] != sequences[1]) {
            file.write(sequences[0] < sequences[1] ? 0 : 1);
        }
        return file;
    }

    private Copy read(int index) throws DiskException {
        if (disk.length(files[index]) < 0) {
            return Copy.MISSING;
        }
        ByteBuffer bytes = ByteBuffer.wrap(disk.read(files[index], 0, HEADER_BYTES + MAX_CONTENT_BYTES));
        if (bytes.remaining() < HEADER_BYTES || bytes.getInt() != MAGIC) {
            return Copy.INVALID;
        }
        int size = bytes.getInt();
        long storedSequence = bytes.getLong();
        int checksum = bytes.getInt();
        if (size < 0 || size > bytes.remaining()) {
            return Copy.INVALID;
        }
        byte[] stored = new byte[size];
        bytes.get(stored);
        return checksum == checksum(storedSequence, stored) ? new Copy(storedSequence, stored) : Copy.INVALID;
    }

    private static int checksum(long sequence, byte[] content) {
        return new Checksum().with(sequence, content.length).with(content).value();
    }

    private void write(int index) throws DiskException {
        byte[] bytes = ByteBuffer.allocate(HEADER_BYTES + content.length)
                .putInt(MAGIC)
                .putInt(content.length)
                .putLong(sequence)
                .putInt(checksum(sequence, content))
                .put(content)
                .array();
        if (disk.length(files[index]) < 0) {
            disk.allocate(files[index], HEADER_BYTES);
            disk.fsyncDirectory();
        }
        disk.write(files[index], 0, bytes);
        disk.fsync(files[index]);
    }

    /** Returns an identity that differs between the two files and copies of them. */
    public String identity() throws DiskException {
        return disk.identity(files[0]) + " " + disk.identity(files[1]);
    }

    /** Returns the content saved last; empty if nothing was saved or no copy is valid. */
    public Optional<byte[]> content() {
        return Optional.ofNullable(content);
    }

    /** Returns the corruption if copies exist but none of them is valid. */
    public Optional<Corruption> corruption() {
        return content == null && anyCopyInvalid
                ? Optional.of(new Corruption(
                        Corruption.Kind.INVALID_COPIES,
                        files[0],
                        0,
                        Corruption.NO_RECORD,
                        "neither this copy nor " + files[1] + " is valid"))
                : Optional.empty();
    }

    /**
     * Replaces the content durably. After an exception the directory must not be used any further.
     *
     * @throws IllegalArgumentException if the content is larger than {@link #MAX_CONTENT_BYTES}
     */
    public void save(byte[] next) throws DiskException {
        if (next.length > MAX_CONTENT_BYTES) {
            throw new IllegalArgumentException(
                    next.length + " bytes exceed the maximum of " + MAX_CONTENT_BYTES + " bytes");
        }
        sequence++;
        content = next.clone();
        write(0);
        write(1);
    }
}
