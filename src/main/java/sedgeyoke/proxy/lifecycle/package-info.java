/**
 * Startup and shutdown of a balancer process: binding its sockets, warming up the JIT compiler, archiving loaded
 * classes, and the graceful shutdown.
 */
package sedgeyoke.proxy.lifecycle;
