/**
 * The admin endpoint: metrics, cordons and health for operators.
 */
package sedgeyoke.proxy.admin;
