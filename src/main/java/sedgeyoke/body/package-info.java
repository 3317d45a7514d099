/**
 * Decisions on the bodies of requests and responses, free of I/O, clocks and threads: how much memory they may use
 * ({@link sedgeyoke.body.BodyLimits}, {@link sedgeyoke.body.BodyBudget}), how slow an upload may be
 * ({@link sedgeyoke.body.MinimumTransferRate}) and how a request continues of which a part was forwarded
 * ({@link sedgeyoke.body.PartialRequestPolicy}).
 */
package sedgeyoke.body;
