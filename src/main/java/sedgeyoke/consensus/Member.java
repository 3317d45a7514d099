package sedgeyoke.consensus;

/**
 * A member of the Raft cluster. A replica that returns under the same name with another storage id is another replica:
 * it does not know what the former one has acknowledged.
 *
 * @param name as in its certificate
 * @param storageId drawn when its storage was created; 0 while it is not known
 * @param address host and port on which it listens
 */
public record Member(String name, long storageId, String address) {}
