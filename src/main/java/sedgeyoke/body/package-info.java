/**
 * What is decided about bodies, free of input, output, clocks and threads: how much may be held
 * ({@link sedgeyoke.body.BodyLimits}, {@link sedgeyoke.body.BodyBudget}), how slow a sender may be
 * ({@link sedgeyoke.body.MinimumTransferRate}) and what becomes of a request of which a part has gone
 * ({@link sedgeyoke.body.PartialRequestPolicy}).
 */
package sedgeyoke.body;
