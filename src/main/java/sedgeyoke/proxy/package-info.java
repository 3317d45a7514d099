/**
 * The balancer on sockets. Clients are on one side ({@link sedgeyoke.proxy.HttpFrontend} and
 * {@link sedgeyoke.proxy.ClientConnection}), upstreams on the other
 * ({@link sedgeyoke.proxy.UpstreamConnectionPool}), and {@link sedgeyoke.proxy.ProxyCore} between them asks the load
 * balancing policy what to do with each request. All of it runs on one event loop, so nothing is locked.
 */
package sedgeyoke.proxy;
