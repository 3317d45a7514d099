/**
 * Crash-safe storage on disks that may lose or corrupt writes. {@link sedgeyoke.store.Disk} is the interface to a
 * directory; {@link sedgeyoke.store.FileDisk} implements it on the file system and is the only class in this package
 * that does I/O. {@link sedgeyoke.store.SegmentLog}, {@link sedgeyoke.store.DualCopyFile} and {@link
 * sedgeyoke.store.SnapshotStore} decide which data is valid after a crash, and distinguish torn writes, which were
 * never durable, from corruption of durable data. The design is in docs/design/store.md.
 */
package sedgeyoke.store;
