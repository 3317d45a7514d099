/** The soak: real balancer processes under faults that are drawn from a seed, checked from outside. */
package sedgeyoke.drill.soak;
