/**
 * The balancer on real sockets. Everything here runs on one event loop thread, the decision module too, so
 * nothing is locked; what to do with a request is the module's to say.
 */
package sedgeyoke.proxy;
