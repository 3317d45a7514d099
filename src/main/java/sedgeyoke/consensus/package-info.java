/**
 * The replicated configuration of the cluster, free of I/O, clocks and threads: equal events give equal actions.
 *
 * <p>{@link sedgeyoke.consensus.RaftNode} is one replica of the Raft cluster that holds the config.
 * {@link sedgeyoke.consensus.ConfigSubscriber} is the balancer's side, which acts on the config under a lease.
 * {@link sedgeyoke.consensus.ConfigSchema} defines the fields of a config, how two versions merge, and what holds
 * without a lease. {@link sedgeyoke.consensus.SafetyRules} has the rules that safety depends on, each in one method.
 * The safety argument is in docs/design/agreement.md.
 */
package sedgeyoke.consensus;
