/**
 * The config servers, which run the Raft nodes with real connections and disks, and their clients.
 * {@link sedgeyoke.consensus.server.ConfigServer} runs a Raft node,
 * {@link sedgeyoke.consensus.server.ConfigSubscription} renews a balancer's lease, and
 * {@link sedgeyoke.consensus.server.ConfigClient} sends operators' requests.
 */
package sedgeyoke.consensus.server;
