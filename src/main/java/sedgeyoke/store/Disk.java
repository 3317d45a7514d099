package sedgeyoke.store;

import java.util.List;

/**
 * A flat directory of files. Writes are durable only after {@link #fsync}, creations, renames and deletions only after
 * {@link #fsyncDirectory}. Faults that an implementation may show nevertheless (lost or misplaced writes, bit rot) are
 * listed in docs/design/store.md; readers verify what they read. Implementations are confined to one thread.
 */
public interface Disk {
    /** Returns the names of all files, in no particular order. */
    List<String> fileNames() throws DiskException;

    /** Returns the length of a file in bytes, or -1 if it does not exist. */
    long length(String file) throws DiskException;

    /**
     * Returns an identity that a copy of the file does not share, such as an inode number. Writes do not change it.
     * Empty if the file does not exist or the platform has no such identity.
     */
    String identity(String file) throws DiskException;

    /** Reads up to {@code length} bytes from an offset; returns fewer at the end of the file. */
    byte[] read(String file, long offset, int length) throws DiskException;

    /** Creates a file of {@code length} zero bytes and replaces an existing one. */
    void allocate(String file, long length) throws DiskException;

    /** Writes bytes at an offset; the file grows if necessary. */
    void write(String file, long offset, byte[] bytes) throws DiskException;

    /**
     * Makes the content of a file durable. After an error the state of all writes since the last successful call is
     * unknown, and a repeated call proves nothing: the kernel may have dropped the pages that it could not write.
     */
    void fsync(String file) throws DiskException;

    /** Makes creations, renames and deletions durable. */
    void fsyncDirectory() throws DiskException;

    /** Renames a file atomically and replaces an existing file of the new name. */
    void rename(String from, String to) throws DiskException;

    /** Deletes a file if it exists. */
    void delete(String file) throws DiskException;
}
