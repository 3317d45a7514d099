/**
 * Start and end of a process: the balancer on its sockets, warm-up of the JIT compiler, the archive of loaded classes,
 * and the graceful shutdown.
 */
package sedgeyoke.proxy.lifecycle;
