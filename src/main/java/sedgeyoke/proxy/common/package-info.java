/**
 * Shared by all parts of the balancer: the transport (sockets or channels inside the process), the rate-limited log,
 * checks that wait for pending reads, and units of time.
 */
package sedgeyoke.proxy.common;
