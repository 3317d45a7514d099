/**
 * A site as it truly is, free of input, output, clocks and threads: what it is made of ({@link
 * sedgeyoke.model.SiteModel}),
 * how an order node behaves ({@link sedgeyoke.model.UpstreamModel}) and whether the four rules were kept
 * ({@link sedgeyoke.model.InvariantChecker}). Stand-ins on sockets and the emulator in virtual time share it.
 */
package sedgeyoke.model;
