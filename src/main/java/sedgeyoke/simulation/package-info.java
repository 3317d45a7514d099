/**
 * Simulation of a whole tier in virtual time: the real policy, planners and plan subscribers run between modelled
 * upstreams, clients, discovery and network. A run uses one thread, does no I/O and reads no clock; all randomness
 * comes from one seed, so the same seed reproduces the same run to the last event. {@link
 * sedgeyoke.simulation.Simulation} is the entry point; docs/design/emulator.md lists what is modelled and what is
 * not.
 *
 * <p>Times are microseconds of virtual time unless a name or type says otherwise.
 */
package sedgeyoke.simulation;
