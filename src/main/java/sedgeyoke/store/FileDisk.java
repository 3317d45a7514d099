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
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A directory of the file system, locked for this process. File names that could lead out of the directory are rejected
 * with {@link IllegalArgumentException}. To be used on one thread.
 */
public final class FileDisk implements Disk, AutoCloseable {
    private static final String LOCK_FILE = "lock";
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]*";
    private static final int ZERO_BLOCK_BYTES = 1 << 16;

    private final Path directory;
    private final FileChannel lockFile;
    private final Map<String, FileChannel> openFiles = new HashMap<>();

    private FileDisk(Path directory, FileChannel lockFile) {
        this.directory = directory;
        this.lockFile = lockFile;
    }

    /**
     * Opens and locks a directory, which is created if it does not exist. Fails with {@link DiskException.Kind#IN_USE}
     * if another process has locked it.
     */
    public static FileDisk open(Path directory) throws DiskException {
        FileChannel channel = null;
        try {
            Files.createDirectories(directory);
            channel =
                    FileChannel.open(directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            FileLock lock = channel.tryLock();
            if (lock == null) {
                throw new OverlappingFileLockException();
            }
            return new FileDisk(directory, channel);
        } catch (OverlappingFileLockException e) {
            closeQuietly(channel);
            throw new DiskException(DiskException.Kind.IN_USE, "", directory + " is held by another process");
        } catch (IOException e) {
            closeQuietly(channel);
            throw diskException("", e);
        }
    }

    private static void closeQuietly(FileChannel channel) {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            return; // data that was not fsynced is not durable, whether or not closing succeeds
        }
    }

    private static DiskException diskException(String file, IOException cause) {
        String text = String.valueOf(
                cause instanceof FileSystemException f && f.getReason() != null ? f.getReason() : cause.getMessage());
        DiskException.Kind kind = DiskException.Kind.IO_ERROR;
        if (cause instanceof NoSuchFileException) {
            kind = DiskException.Kind.NOT_FOUND;
        } else if (text.contains("No space left") || text.contains("quota")) {
            kind = DiskException.Kind.FULL;
        } else if (cause instanceof AccessDeniedException || text.contains("Read-only")) {
            kind = DiskException.Kind.READ_ONLY;
        }
        return new DiskException(kind, file, cause.getClass().getSimpleName() + ": " + text);
    }

    private Path path(String file) {
        if (!file.matches(NAME_PATTERN)) {
            throw new IllegalArgumentException("invalid file name: " + file);
        }
        return directory.resolve(file);
    }

    /** An operation on the channel of an open file. */
    private interface ChannelOperation<T> {
        T apply(FileChannel channel) throws IOException;
    }

    private <T> T withChannel(String file, ChannelOperation<T> operation) throws DiskException {
        try {
            FileChannel channel = openFiles.get(file);
            if (channel == null) {
                channel = FileChannel.open(path(file), StandardOpenOption.READ, StandardOpenOption.WRITE);
                openFiles.put(file, channel);
            }
            return operation.apply(channel);
        } catch (ReadOnlyFileSystemException e) {
            throw new DiskException(DiskException.Kind.READ_ONLY, file, "the file system is read-only");
        } catch (IOException e) {
            throw diskException(file, e);
        }
    }

    private void closeFile(String file) throws IOException {
        FileChannel channel = openFiles.remove(file);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public List<String> fileNames() throws DiskException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(path -> path.getFileName().toString())
                    .filter(file -> !file.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw diskException("", e);
        }
    }

    @Override
    public long length(String file) throws DiskException {
        return Files.exists(path(file)) ? withChannel(file, FileChannel::size) : -1;
    }

    /** Returns the inode number. The device number is left out, because it may change when the system restarts. */
    @Override
    public String identity(String file) throws DiskException {
        try {
            Object key =
                    Files.readAttributes(path(file), BasicFileAttributes.class).fileKey();
            return key == null ? "" : key.toString().replaceAll(".*(ino=[0-9]+).*", "$1");
        } catch (NoSuchFileException e) {
            return "";
        } catch (IOException e) {
            throw diskException(file, e);
        }
    }

    @Override
    public byte[] read(String file, long offset, int length) throws DiskException {
        return withChannel(file, channel -> {
            ByteBuffer bytes = ByteBuffer.allocate((int) Math.max(0, Math.min(length, channel.size() - offset)));
            while (bytes.hasRemaining() && channel.read(bytes, offset + bytes.position()) >= 0) {
                continue;
            }
            return Arrays.copyOf(bytes.array(), bytes.position());
        });
    }

    @Override
    public void allocate(String file, long length) throws DiskException {
        try {
            closeFile(file);
            Files.deleteIfExists(path(file));
            Files.createFile(path(file));
        } catch (IOException e) {
            throw diskException(file, e);
        }
        withChannel(
                file,
                channel -> { // not a sparse file: later writes to it could find the disk full
                    for (long offset = 0; offset < length; offset += ZERO_BLOCK_BYTES) {
                        int bytes = (int) Math.min(ZERO_BLOCK_BYTES, length - offset);
                        writeAll(channel, offset, ByteBuffer.allocate(bytes));
                    }
                    return null;
                });
    }

    private static void writeAll(FileChannel channel, long offset, ByteBuffer bytes) throws IOException {
        long position = offset;
        while (bytes.hasRemaining()) {
            position += channel.write(bytes, position);
        }
    }

    @Override
    public void write(String file, long offset, byte[] bytes) throws DiskException {
        withChannel(file, channel -> {
            writeAll(channel, offset, ByteBuffer.wrap(bytes));
            return null;
        });
    }

    @Override
    public void fsync(String file) throws DiskException {
        withChannel(file, channel -> {
            channel.force(true);
            return null;
        });
    }

    @Override
    public void fsyncDirectory() throws DiskException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        } catch (IOException e) {
            throw diskException("", e);
        }
    }

    @Override
    public void rename(String from, String to) throws DiskException {
        try {
            closeFile(from);
            closeFile(to);
            Files.move(path(from), path(to), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            throw diskException(from, e);
        }
    }

    @Override
    public void delete(String file) throws DiskException {
        try {
            closeFile(file);
            Files.deleteIfExists(path(file));
        } catch (IOException e) {
            throw diskException(file, e);
        }
    }

    /** Closes all files and unlocks the directory. */
    @Override
    public void close() {
        openFiles.values().forEach(FileDisk::closeQuietly);
        openFiles.clear();
        closeQuietly(lockFile);
    }
}
