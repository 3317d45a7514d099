/**
 * A request from its acceptance to its response and the end of its last attempt: attempts and their outcomes,
 * deadlines, bodies, completion, and the events and actions of the policy that concern one request.
 */
package sedgeyoke.proxy.exchange;
