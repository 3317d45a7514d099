/**
 * Runs of the whole program against the stand-ins: the demo, and drills that inject faults and check the product's
 * targets. Metrics come from what stand-ins and clients observed, never from the program's own counters.
 */
package sedgeyoke.drill;
