package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [operator]}: how an operator's commands reach the config servers.
 *
 * @param name as in the operator's certificate
 * @param servers where they listen; at most 7
 * @param tls its certificate, key and trusted issuers
 */
public record ClientSettings(String name, List<InetSocketAddress> servers, TlsFiles tls) {}
