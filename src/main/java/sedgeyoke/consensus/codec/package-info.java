/** Converts the types of {@link sedgeyoke.consensus} to and from protobuf messages, for connections and for the disk. */
package sedgeyoke.consensus.codec;
