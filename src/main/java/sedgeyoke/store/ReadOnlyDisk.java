package sedgeyoke.store;

import java.util.List;

/**
 * Reads from another disk and ignores all changes. Code that normally changes a directory when it opens it can thereby
 * inspect the directory.
 *
 * @param disk the disk to read from
 */
public record ReadOnlyDisk(Disk disk) implements Disk {
    @Override
    public List<String> fileNames() throws DiskException {
        return disk.fileNames();
    }

    @Override
    public long length(String file) throws DiskException {
        return disk.length(file);
    }

    @Override
    public String identity(String file) throws DiskException {
        return disk.identity(file);
    }

    @Override
    public byte[] read(String file, long offset, int length) throws DiskException {
        return disk.read(file, offset, length);
    }

    @Override
    public void allocate(String file, long length) {}

    @Override
    public void write(String file, long offset, byte[] bytes) {}

    @Override
    public void fsync(String file) {}

    @Override
    public void fsyncDirectory() {}

    @Override
    public void rename(String from, String to) {}

    @Override
    public void delete(String file) {}
}
