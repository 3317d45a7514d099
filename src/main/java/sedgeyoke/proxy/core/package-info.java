/**
 * The balancer of one process: {@link sedgeyoke.proxy.core.ProxyCore} connects the policy with exchanges,
 * connections to upstreams and discovery, and gives optional features access to the policy.
 */
package sedgeyoke.proxy.core;
