/**
 * Upstreams: the table of endpoints, the pool of connections, one attempt in flight on each connection, and the reasons
 * for which an attempt is withheld at the last moment.
 */
package sedgeyoke.proxy.upstream;
