/**
 * Models of a site without I/O, clocks and threads: its nodes and request classes ({@link sedgeyoke.model.SiteModel}),
 * the behaviour of an order node ({@link sedgeyoke.model.UpstreamModel}) and a checker of the platform's four rules
 * ({@link sedgeyoke.model.InvariantChecker}). The stand-ins on sockets and the simulation in virtual time share them.
 */
package sedgeyoke.model;
