/**
 * Upstreams: the table of endpoints, the pool of connections, the attempt that each connection carries, and the checks
 * that can withhold an attempt just before it is written.
 */
package sedgeyoke.proxy.upstream;
