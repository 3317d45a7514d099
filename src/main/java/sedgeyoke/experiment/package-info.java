/**
 * Experiments on the emulator: a file names a scenario, faults and variants; each is played with the same seeds, and
 * what
 * differs is told with its interval. Reading, running side by side and writing stand here; what is played stands in
 * {@link sedgeyoke.simulation}.
 */
package sedgeyoke.experiment;
