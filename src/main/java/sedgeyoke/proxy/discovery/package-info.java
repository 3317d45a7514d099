/**
 * Endpoint discovery: the calls with their timeouts and retries, the revisions of lists, and the barrier that queues
 * the first requests until a list has arrived.
 */
package sedgeyoke.proxy.discovery;
