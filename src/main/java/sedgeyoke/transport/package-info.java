/**
 * Connections between the processes of a site: length-prefixed protobuf frames over mutual TLS, on Netty. A peer is
 * identified by its certificate alone, and the size and rate of what it sends are bounded. {@link sedgeyoke.plan} and
 * {@link sedgeyoke.consensus} define the meaning of the messages.
 */
package sedgeyoke.transport;
