/**
 * Stand-ins for everything that a balancer talks to: discovery, order nodes, clients, and a network with faults. Tests,
 * {@code demo} and {@code drill} share them. They report what they observe to a
 * {@link sedgeyoke.model.InvariantChecker}. They implement the protocol without code of the balancer, so that a mistake
 * in the balancer is not repeated here.
 */
package sedgeyoke.standin;
