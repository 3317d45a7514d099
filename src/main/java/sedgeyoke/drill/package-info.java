/**
 * Runs of the whole program against the stand-ins: the demo, and drills that inject faults and measure what the product
 * promises. Metrics come from what stand-ins and clients observed, never from the program's own counters.
 */
package sedgeyoke.drill;
