/**
 * Planners and their followers on sockets. What is decided here is only whom to believe: {@link sedgeyoke.plan} decides
 * all else, and {@link sedgeyoke.transport} carries the messages.
 */
package sedgeyoke.plan.remote;
