/** Storage of a consensus replica: its hard state, log and snapshots. */
package sedgeyoke.consensus.storage;
