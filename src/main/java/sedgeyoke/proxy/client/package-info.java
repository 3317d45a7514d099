/**
 * Clients: the HTTP frontend, its connections and their timeouts, parsing and admission of requests, and responses. A
 * request that is admitted becomes an exchange and goes to {@link sedgeyoke.proxy.core.ProxyCore}.
 */
package sedgeyoke.proxy.client;
