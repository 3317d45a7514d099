/**
 * The config servers on sockets and disks, and their clients. {@link sedgeyoke.consensus.server.ConfigServer} runs a
 * Raft node, {@link sedgeyoke.consensus.server.ConfigSubscription} keeps a balancer's lease, and
 * {@link sedgeyoke.consensus.server.ConfigClient} sends requests of operators.
 */
package sedgeyoke.consensus.server;
