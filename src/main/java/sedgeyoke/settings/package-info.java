/**
 * The operator's file ({@code deploy/operator.toml}): everything that goes beyond the platform's own configuration is
 * set here, and is off where it is not set. {@link sedgeyoke.settings.OperatorFile} reads and checks it whole before
 * any of it is used. Nothing of this package is loaded where no file is named.
 */
package sedgeyoke.settings;
