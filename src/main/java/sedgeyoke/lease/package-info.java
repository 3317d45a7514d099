/**
 * Expiry of leases between processes whose clocks are not synchronized and only have a bounded drift. Used for the
 * slow-start quota that forwarders delegate to planners, and for the config leases of balancers.
 */
package sedgeyoke.lease;
