/**
 * Rules for the bodies of requests and responses, without I/O, clocks or threads: how much memory they may use
 * ({@link sedgeyoke.body.BodyLimits}, {@link sedgeyoke.body.BodyBudget}), how slow an upload may be
 * ({@link sedgeyoke.body.MinimumTransferRate}) and how a request continues after an attempt that forwarded a part of
 * its body ({@link sedgeyoke.body.PartialRequestPolicy}).
 */
package sedgeyoke.body;
