/**
 * Connects the load balancing policy to an external simulator, which sends events and receives the policy's actions as
 * JSON lines. The proxy also uses {@link sedgeyoke.simulator.SettingsReader}, for its platform settings.
 */
package sedgeyoke.simulator;
