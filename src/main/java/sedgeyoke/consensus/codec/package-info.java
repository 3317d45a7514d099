/** The form that the records of {@link sedgeyoke.consensus} have in messages and on disk. */
package sedgeyoke.consensus.codec;
