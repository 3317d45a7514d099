/** Load-balancing decisions for proxies: {@link astergate.Balancer} is the interface. */
package astergate;
