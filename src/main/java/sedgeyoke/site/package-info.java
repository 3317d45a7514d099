/**
 * A site as it truly is, free of input, output, clocks and threads: what it is made of ({@link
 * sedgeyoke.site.SiteSpec}),
 * how an order node behaves ({@link sedgeyoke.site.NodeModel}) and whether the four rules were kept
 * ({@link sedgeyoke.site.Ledger}). Stand-ins on sockets and the emulator in virtual time share it.
 */
package sedgeyoke.site;
