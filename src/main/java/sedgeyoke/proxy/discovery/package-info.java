/**
 * The endpoint list: calls to discovery, their timeouts and retries, revisions, and the barrier that holds the first
 * requests back until a list has arrived.
 */
package sedgeyoke.proxy.discovery;
