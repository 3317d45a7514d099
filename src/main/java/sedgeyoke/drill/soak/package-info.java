/** The soak: real balancer processes under faults that are drawn from a seed, judged from outside. */
package sedgeyoke.drill.soak;
