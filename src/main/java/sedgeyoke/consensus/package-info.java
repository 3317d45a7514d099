/**
 * The replicated configuration of the cluster. This package has no I/O, clocks or threads: the same events always
 * produce the same actions.
 *
 * <p>{@link sedgeyoke.consensus.RaftNode} is one replica of the Raft cluster that holds the config.
 * {@link sedgeyoke.consensus.ConfigSubscriber} is the balancer's side, which uses the config under a lease.
 * {@link sedgeyoke.consensus.ConfigSchema} defines the fields of a config, how two versions are merged, and which
 * values apply without a lease. {@link sedgeyoke.consensus.SafetyRules} has the rules that safety depends on, each in
 * one method.
 * The safety argument is in docs/design/agreement.md.
 */
package sedgeyoke.consensus;
