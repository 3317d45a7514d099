/**
 * Arithmetic of leases between processes whose clocks share nothing but a bound on their drift. The slow-start quota of
 * planners and the config leases of the replicas both use it.
 */
package sedgeyoke.lease;
