/** The command line, based on picocli: one class per command. {@code bin/sedgeyoke serve} does not load it. */
package sedgeyoke.cli;
