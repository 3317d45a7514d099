/**
 * One word for the tier, free of input, output, clocks and threads: the same events give the same actions.
 * {@link sedgeyoke.consensus.RaftNode} is one of the few processes that hold the replicated log of documents;
 * {@link sedgeyoke.consensus.ConfigSubscriber} is the side of a balancer that acts on them under a lease;
 * {@link sedgeyoke.consensus.ConfigSchema} says what a document may hold, how two versions meet, and what may be done
 * alone. The argument stands in docs/design/agreement.md.
 */
package sedgeyoke.consensus;
