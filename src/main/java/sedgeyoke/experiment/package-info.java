/**
 * Experiments with the simulation: an experiment file names a scenario, faults and variants; each variant is run with
 * the same seeds, and the differences are reported with confidence intervals. This package reads the files, runs
 * simulations in parallel, and writes runs and reports; {@link sedgeyoke.simulation} has the simulation itself.
 */
package sedgeyoke.experiment;
