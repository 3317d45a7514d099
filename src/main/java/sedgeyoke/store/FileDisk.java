package sedgeyoke.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.ReadOnlyFileSystemException;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A folder of the file system, held by one process at a time. Names that could lead out of it are refused. To be used
 * on one thread.
 */
public final class FileDisk implements Disk, AutoCloseable {
    private static final String LOCK = "lock";
    private static final int ZEROS = 1 << 16;

    private final Path folder;
    private final FileChannel lockFile;
    private final Map<String, FileChannel> open = new HashMap<>();

    private FileDisk(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /** Takes a folder; makes it if there is none. Fails where another process has it. */
    public static FileDisk take(Path folder) throws DiskException {
        FileChannel channel = null;
        try {
            Files.createDirectories(folder);
            channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock held = channel.tryLock();
            if (held == null) {
                throw new OverlappingFileLockException();
            }
            return new FileDisk(folder, channel);
        } catch (OverlappingFileLockException e) {
            closeQuietly(channel);
            throw new DiskException(DiskException.Kind.IN_USE, "", folder + " is held by another process");
        } catch (IOException e) {
            closeQuietly(channel);
            throw fault("", e);
        }
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            return; // nothing was written on it
        }
    }

    private static DiskException fault(String name, IOException e) {
        String text = String.valueOf(
                e instanceof FileSystemException f && f.getReason() != null ? f.getReason() : e.getMessage());
        DiskException.Kind kind = DiskException.Kind.FAILED;
        if (e instanceof NoSuchFileException) {
            kind = DiskException.Kind.GONE;
        } else if (text.contains("No space left") || text.contains("quota")) {
            kind = DiskException.Kind.FULL;
        } else if (e instanceof AccessDeniedException || text.contains("Read-only")) {
            kind = DiskException.Kind.READ_ONLY;
        }
        return new DiskException(kind, name, e.getClass().getSimpleName() + ": " + text);
    }

    private Path path(String name) {
        if (!name.matches("[A-Za-z0-9][A-Za-z0-9._-]*")) {
            throw new IllegalArgumentException("no name of a file here: " + name);
        }
        return folder.resolve(name);
    }

    /** What may go wrong with a file. */
    private interface Work<T> {
        T on(FileChannel channel) throws IOException;
    }

    private <T> T with(String name, Work<T> work) throws DiskException {
        try {
            FileChannel channel = open.get(name);
            if (channel == null) {
                channel = FileChannel.open(path(name), StandardOpenOption.READ, StandardOpenOption.WRITE);
                open.put(name, channel);
            }
            return work.on(channel);
        } catch (ReadOnlyFileSystemException e) {
            throw new DiskException(DiskException.Kind.READ_ONLY, name, "the file system may only be read");
        } catch (IOException e) {
            throw fault(name, e);
        }
    }

    private void forget(String name) throws IOException {
        FileChannel channel = open.remove(name);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public List<String> names() throws DiskException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(p -> p.getFileName().toString())
                    .filter(n -> !n.equals(LOCK))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw fault("", e);
        }
    }

    @Override
    public long length(String name) throws DiskException {
        return Files.exists(path(name)) ? with(name, FileChannel::size) : -1;
    }

    /** The number of its inode; its device may be another one after each start of the system. */
    @Override
    public String identity(String name) throws DiskException {
        try {
            Object key =
                    Files.readAttributes(path(name), BasicFileAttributes.class).fileKey();
            return key == null ? "" : key.toString().replaceAll(".*(ino=[0-9]+).*", "$1");
        } catch (NoSuchFileException e) {
            return "";
        } catch (IOException e) {
            throw fault(name, e);
        }
    }

    @Override
    public byte[] read(String name, long at, int length) throws DiskException {
        return with(name, channel -> {
            ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, Math.min(length, channel.size() - at)));
            while (bytes.hasRemaining() && channel.read(bytes, at + bytes.position()) >= 0) {
                continue;
            }
            return java.util.Arrays.copyOf(bytes.array(), bytes.position());
        });
    }

    @Override
    public void allocate(String name, long length) throws DiskException {
        try {
            forget(name);
            Files.deleteIfExists(path(name));
            Files.createFile(path(name));
        } catch (IOException e) {
            throw fault(name, e);
        }
        with(
                name,
                channel -> { // zeros that are written, so that a full disk says so now and not later
                    for (long at = 0; at < length; at += ZEROS) {
                        writeAll(channel, at, ByteBuffer.allocate((int) Math.min(ZEROS, length - at)));
                    }
                    return null;
                });
    }

    private static void writeAll(FileChannel channel, long at, ByteBuffer bytes) throws IOException {
        long from = at;
        while (bytes.hasRemaining()) {
            from += channel.write(bytes, from);
        }
    }

    @Override
    public void write(String name, long at, byte[] bytes) throws DiskException {
        with(name, channel -> {
            writeAll(channel, at, ByteBuffer.wrap(bytes));
            return null;
        });
    }

    @Override
    public void force(String name) throws DiskException {
        with(name, channel -> {
            channel.force(true);
            return null;
        });
    }

    @Override
    public void forceNames() throws DiskException {
        try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
            names.force(true);
        } catch (IOException e) {
            throw fault("", e);
        }
    }

    @Override
    public void rename(String from, String to) throws DiskException {
        try {
            forget(from);
            forget(to);
            Files.move(path(from), path(to), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw fault(from, e);
        }
    }

    @Override
    public void delete(String name) throws DiskException {
        try {
            forget(name);
            Files.deleteIfExists(path(name));
        } catch (IOException e) {
            throw fault(name, e);
        }
    }

    /** Lets go of the folder. */
    @Override
    public void close() {
        open.values().forEach(FileDisk::closeQuietly);
        open.clear();
        closeQuietly(lockFile);
    }
}
