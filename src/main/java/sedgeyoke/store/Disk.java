package sedgeyoke.store;

import java.util.List;

/**
 * A folder of files without subfolders. Nothing that was written, created, renamed or deleted is promised before the
 * file and, for names, the folder have been forced. What a disk of this kind may do all the same stands in
 * docs/design/store.md; whoever reads has to check what it gets.
 */
public interface Disk {
    /** The names of all files, in no order. */
    List<String> names() throws DiskException;

    /** The length of a file in bytes; -1 if there is none of that name. */
    long length(String name) throws DiskException;

    /**
     * What tells a file from a copy of it with the same name and content, as far as the disk can tell; a file that is
     * written to stays the same. Empty if there is none of that name.
     */
    String identity(String name) throws DiskException;

    /** Reads from a place on; fewer bytes than asked for at the end of the file. */
    byte[] read(String name, long at, int length) throws DiskException;

    /** Makes a file of so many zero bytes, in place of one of that name if there is any. */
    void allocate(String name, long length) throws DiskException;

    /** Writes to a place; a file grows if need be. Promises nothing. */
    void write(String name, long at, byte[] bytes) throws DiskException;

    /**
     * Makes the content of a file last. After a fault nothing is known of what was written since the last force, and
     * a second call proves nothing: pages that could not be written may be gone from memory too.
     */
    void force(String name) throws DiskException;

    /** Makes creations, renames and deletions last. */
    void forceNames() throws DiskException;

    /** Gives a file another name, in place of one of that name if there is any. */
    void rename(String from, String to) throws DiskException;

    /** Deletes a file, if there is one of that name. */
    void delete(String name) throws DiskException;
}
