package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [operator]}: how operators' commands connect to the config servers.
 *
 * @param name the operator's name, as in the certificate
 * @param servers addresses of the config servers; at most 7
 * @param tls the operator's certificate, key and trusted issuers
 */
public record ClientSettings(String name, List<InetSocketAddress> servers, TlsFiles tls) {}
