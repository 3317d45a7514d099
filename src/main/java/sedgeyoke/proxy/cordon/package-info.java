/** Upstreams that operators have cordoned: the set of them, and the file that preserves it over a restart. */
package sedgeyoke.proxy.cordon;
