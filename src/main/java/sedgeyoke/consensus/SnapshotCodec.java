package sedgeyoke.consensus;

/** Converts snapshots to the bytes in which they are transferred to another replica, and back. */
public interface SnapshotCodec {
    /** Encodes a snapshot; equal snapshots give equal bytes. */
    byte[] encode(Snapshot snapshot);

    /** Decodes a snapshot; returns null if the bytes are not valid. */
    Snapshot decode(byte[] bytes);
}
