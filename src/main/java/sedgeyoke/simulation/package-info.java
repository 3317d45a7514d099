/**
 * Simulation of a whole balancer tier in virtual time: the real policy, planners and plan subscribers run with models
 * of upstreams, clients, discovery and network. A run uses one thread, does no I/O and reads no system clock; all
 * randomness comes from one seed, so the same seed reproduces the same sequence of events. {@link
 * sedgeyoke.simulation.Simulation} is the entry point; docs/design/emulator.md lists what is modelled and what is
 * not.
 *
 * <p>Times are microseconds of virtual time unless a name or type says otherwise.
 */
package sedgeyoke.simulation;
