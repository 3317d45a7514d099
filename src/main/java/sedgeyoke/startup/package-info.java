/** Startup of planners and config servers: settings, clock, event loop and the report of a failed start. */
package sedgeyoke.startup;
