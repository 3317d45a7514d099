package sedgeyoke.store;

import java.util.List;

/**
 * A flat directory of files. Writes are durable only after {@link #fsync}, and creations, renames and deletions only
 * after {@link #fsyncDirectory}. Implementations may still lose or misplace writes or return corrupt data;
 * docs/design/store.md lists these faults, and readers verify what they read. Implementations are confined to one
 * thread.
 */
public interface Disk {
    /** Returns the names of all files, in no particular order. */
    List<String> fileNames() throws DiskException;

    /** Returns the length of a file in bytes, or -1 if it does not exist. */
    long length(String file) throws DiskException;

    /**
     * Returns an identity that differs between a file and its copies, such as an inode number, and that writes do not
     * change. Empty if the file does not exist or the platform has no such identity.
     */
    String identity(String file) throws DiskException;

    /** Reads up to {@code length} bytes from an offset; returns fewer at the end of the file. */
    byte[] read(String file, long offset, int length) throws DiskException;

    /** Creates a file of {@code length} zero bytes, replacing an existing one. */
    void allocate(String file, long length) throws DiskException;

    /** Writes bytes at an offset; the file grows if necessary. */
    void write(String file, long offset, byte[] bytes) throws DiskException;

    /**
     * Makes the content of a file durable. After an error it is unknown which writes since the last successful call are
     * durable. A later successful call does not make them so, because the kernel may have dropped the pages that it
     * could not write.
     */
    void fsync(String file) throws DiskException;

    /** Makes creations, renames and deletions durable. */
    void fsyncDirectory() throws DiskException;

    /** Renames a file atomically, replacing an existing file of the new name. */
    void rename(String from, String to) throws DiskException;

    /** Deletes a file if it exists. */
    void delete(String file) throws DiskException;
}
