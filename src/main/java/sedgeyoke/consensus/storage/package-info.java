/** What a replica stores: its hard state, its log and its snapshots. */
package sedgeyoke.consensus.storage;
