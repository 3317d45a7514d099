/**
 * Connections between the processes of a site: length-prefixed protobuf frames over mutual TLS, on Netty. A peer's
 * identity comes from its certificate alone, and the size and rate of what it sends are bounded. The meaning of the
 * messages belongs to {@link sedgeyoke.plan} and {@link sedgeyoke.consensus}.
 */
package sedgeyoke.transport;
