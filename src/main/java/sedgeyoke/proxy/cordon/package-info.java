/**
 * Upstreams that operators have cordoned: the set, and the file that keeps it over a restart.
 */
package sedgeyoke.proxy.cordon;
