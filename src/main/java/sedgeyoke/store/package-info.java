/**
 * Crash-safe storage on disks that may lose or corrupt writes. {@link sedgeyoke.store.Disk} is the interface to a
 * directory; {@link sedgeyoke.store.FileDisk} implements it on the file system and is the only class here with input
 * and output. {@link sedgeyoke.store.SegmentLog}, {@link sedgeyoke.store.DualCopyFile} and
 * {@link sedgeyoke.store.SnapshotStore} decide which data is valid after a crash, and tell torn writes that were never
 * durable from corruption of durable data. The design is in docs/design/store.md.
 */
package sedgeyoke.store;
