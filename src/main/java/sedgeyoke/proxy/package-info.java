/**
 * The balancer on real sockets. Everything runs on one event loop thread, the policy included, so that nothing needs a
 * lock. What happens to a request is decided by {@link sedgeyoke.policy.LoadBalancingPolicy} alone.
 */
package sedgeyoke.proxy;
