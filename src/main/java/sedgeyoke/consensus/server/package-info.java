/** Config servers as processes, and the clients of balancers and operators that talk to them. */
package sedgeyoke.consensus.server;
