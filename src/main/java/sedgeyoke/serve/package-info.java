/** One balancer process: the balancer together with the features that the operator's file turns on. */
package sedgeyoke.serve;
