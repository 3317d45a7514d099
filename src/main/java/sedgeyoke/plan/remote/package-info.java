/**
 * Carries load reports and plans between forwarders and planners. The decisions belong to {@link sedgeyoke.plan}, the
 * connections to {@link sedgeyoke.transport}.
 */
package sedgeyoke.plan.remote;
