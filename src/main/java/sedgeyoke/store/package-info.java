/**
 * Records on a disk that may lie. {@link sedgeyoke.store.Disk} is all that is asked of a folder, and the only place
 * where a fault can come from; {@link sedgeyoke.store.FileDisk} is the real one and the only class here with input and
 * output. {@link sedgeyoke.store.SegmentLog} and {@link sedgeyoke.store.DualCopyFile} say what of a folder can be
 * believed after a crash, and tell a tail that was never promised from a part that was promised and is gone. The
 * argument stands in docs/design/store.md.
 */
package sedgeyoke.store;
