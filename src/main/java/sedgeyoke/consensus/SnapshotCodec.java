package sedgeyoke.consensus;

/** Encodes snapshots for the transfer to another replica, and decodes them. */
public interface SnapshotCodec {
    /** Encodes a snapshot; equal snapshots give equal bytes. */
    byte[] encode(Snapshot snapshot);

    /** Decodes a snapshot; returns null if the bytes are not valid. */
    Snapshot decode(byte[] bytes);
}
