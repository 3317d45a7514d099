/**
 * Stand-ins for everything a balancer talks to: discovery, order nodes, clients, and a network that misbehaves. Tests,
 * {@code demo} and {@code drill} use the same ones. They run on one event loop and write what truly happened into one
 * {@link sedgeyoke.model.InvariantChecker}, so that the four rules are judged from outside the program. They share no
 * code with it: what they know of the protocol, they know from PROTOCOL.
 */
package sedgeyoke.standin;
