package sedgeyoke.consensus;

/** Between a state and the bytes in which it goes to another keeper. */
public interface SnapshotCodec {
    /** The bytes of a state; the same for equal ones. */
    byte[] encode(Snapshot state);

    /** The state of such bytes; null if they are none. */
    Snapshot decode(byte[] bytes);
}
