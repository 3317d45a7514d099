/**
 * The adapter between the policy and a simulator that sends events and receives decisions as JSON lines; it decides
 * nothing. {@link sedgeyoke.simulator.SettingsReader} also reads the settings of a balancer in the proxy.
 */
package sedgeyoke.simulator;
