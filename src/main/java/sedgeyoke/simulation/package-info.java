/**
 * A whole tier in virtual time: the real decision module, planners and followers between modelled nodes, clients,
 * front,
 * discovery and network. One thread a run, no input, output or clock; all of it from one seed, so the same seed gives
 * the
 * same run to the last event. See docs/design/emulator.md for what is modelled and what is not.
 */
package sedgeyoke.simulation;
