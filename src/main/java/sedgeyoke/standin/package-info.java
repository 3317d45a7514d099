/**
 * Stand-ins for everything that a balancer talks to: discovery, order nodes, clients, and a network with faults. Tests,
 * {@code demo} and {@code drill} share them. What they observe goes into a
 * {@link sedgeyoke.model.InvariantChecker}. They implement the protocol on their own, without code of the balancer, so
 * that a mistake there is not repeated here.
 */
package sedgeyoke.standin;
