/**
 * What planners and those who follow them decide, free of input, output, clocks and threads: the same events give the
 * same messages. {@link sedgeyoke.plan.Planner} sees the whole tier and plans; {@link sedgeyoke.plan.Follower} is the
 * forwarder's side; {@link sedgeyoke.lease.LeaseClock} holds the arithmetic by which rights to send to a cold upstream
 * pass from one to the other. The argument why that is safe stands in docs/design/planners.md.
 */
package sedgeyoke.plan;
