/**
 * The link between forwarders and planners: length-framed protobuf messages over mutual TLS, on Netty as everything
 * else here. It carries what {@link sedgeyoke.plan} decides and decides nothing itself but whom to believe: a peer is
 * who its certificate says, and what it sends has bounds in size, number and rate.
 */
package sedgeyoke.transport;
