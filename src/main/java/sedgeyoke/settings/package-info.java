/**
 * The operator's file ({@code deploy/operator.toml}) configures optional features, which the platform's configuration
 * does not cover and which are off by default. {@link sedgeyoke.settings.OperatorFile} reads and checks the whole file
 * before any value is used. A balancer without an operator's file does not load this package.
 */
package sedgeyoke.settings;
