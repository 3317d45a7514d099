/** The soak: runs balancer processes under faults that a seed draws, and checks invariants from outside. */
package sedgeyoke.drill.soak;
