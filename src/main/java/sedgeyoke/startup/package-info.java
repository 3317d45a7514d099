/** Start of the server processes: settings, clock, event loop, and the report of a start that fails. */
package sedgeyoke.startup;
