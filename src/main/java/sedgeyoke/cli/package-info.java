/** The command line, on picocli: one class for each command. The balancer's own start does not load this package. */
package sedgeyoke.cli;
