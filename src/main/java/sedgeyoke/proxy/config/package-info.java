/** The configuration of one balancer, and endpoint lists as given by the configuration and by discovery. */
package sedgeyoke.proxy.config;
