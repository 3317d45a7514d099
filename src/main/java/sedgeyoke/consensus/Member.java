package sedgeyoke.consensus;

/**
 * A member of the Raft cluster. A replica that returns under the same name with another storage id is a different one:
 * its disk does not have what the previous replica acknowledged.
 *
 * @param name its name, as in its certificate
 * @param storageId random id of its storage directory; 0 while it is not known
 * @param address host and port on which it listens
 */
public record Member(String name, long storageId, String address) {}
