/**
 * What all parts of the balancer need: sockets or channels inside the process, and a log whose rate is limited.
 */
package sedgeyoke.proxy.common;
