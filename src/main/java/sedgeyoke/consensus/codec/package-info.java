/** Converts the types of {@link sedgeyoke.consensus} to and from protobuf messages, for the wire and the disk. */
package sedgeyoke.consensus.codec;
