/**
 * The configuration of one balancer and the endpoint lists that it and discovery give.
 */
package sedgeyoke.proxy.config;
