/** The balancer process: the balancer and the optional features that the operator's file enables. */
package sedgeyoke.serve;
