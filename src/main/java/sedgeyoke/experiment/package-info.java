/**
 * Experiments with the simulation. An experiment file defines a scenario, faults and variants; each variant is run with
 * the same seeds, and the differences are reported with confidence intervals. This package parses the files, runs
 * simulations in parallel, and writes runs and reports; {@link sedgeyoke.simulation} contains the simulation.
 */
package sedgeyoke.experiment;
