/**
 * Models of a site, free of input, output, clocks and threads: its parts ({@link sedgeyoke.model.SiteModel}), the
 * behaviour of an order node ({@link sedgeyoke.model.UpstreamModel}) and a checker of the four rules
 * ({@link sedgeyoke.model.InvariantChecker}). Stand-ins on sockets and the simulation in virtual time share them.
 */
package sedgeyoke.model;
