/**
 * The client side of the balancer: the HTTP frontend, client connections and their timeouts, parsing and admission of
 * requests, and writing of responses. An admitted request becomes an exchange and is handed to {@link
 * sedgeyoke.proxy.core.ProxyCore}.
 */
package sedgeyoke.proxy.client;
