/** Load-balancing decisions for proxies: {@link sedgeyoke.policy.LoadBalancingPolicy} is the interface. */
package sedgeyoke.policy;
