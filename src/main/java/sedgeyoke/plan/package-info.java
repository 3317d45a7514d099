/**
 * Coordination of a tier of forwarders by planners. A {@link sedgeyoke.plan.Planner} aggregates the load reports of all
 * forwarders and answers each with a plan: the upstreams' aggregated limits, zone spillover, and slow-start quota that
 * other forwarders have delegated. A {@link sedgeyoke.plan.PlanSubscriber} is the forwarder's side of the protocol.
 * Leases make the delegation safe: {@link sedgeyoke.lease.LeaseClock} computes their times, and docs/design/planners.md
 * explains why quota is never used twice.
 *
 * <p>This package does no I/O, reads no clock and starts no thread: the same events produce the same messages. The
 * transport is in {@code sedgeyoke.plan.remote}. All times are microseconds on the monotonic clock of the process that
 * handles them, unless a name says otherwise.
 */
package sedgeyoke.plan;
