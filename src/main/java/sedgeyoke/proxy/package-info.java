/**
 * The balancer on sockets, one package for each feature; each may use those above it in this list, never those below:
 *
 * <ul>
 *   <li>{@code common}: transport and log; {@code config}: the configuration; {@code cordon}: cordoned upstreams
 *   <li>{@code discovery}: where the endpoint list comes from
 *   <li>{@code exchange}: a request from its acceptance to its end
 *   <li>{@code upstream}: connections to upstreams
 *   <li>{@code core}: connects the load balancing policy with the three before it
 *   <li>{@code client}: the HTTP frontend
 *   <li>{@code admin}: the admin endpoint; {@code lifecycle}: start and shutdown of a process
 * </ul>
 *
 * <p>All of it runs on one event loop, so nothing is locked.
 */
package sedgeyoke.proxy;
