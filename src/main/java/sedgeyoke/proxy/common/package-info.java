/**
 * What all parts of the balancer need: sockets or channels inside the process, a log whose rate is limited, and
 * units of time.
 */
package sedgeyoke.proxy.common;
