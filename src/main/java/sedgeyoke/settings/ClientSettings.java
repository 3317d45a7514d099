package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Section {@code [operator]}: how an operator's commands reach the keepers.
 *
 * @param name as in the operator's certificate
 * @param keepers where they listen; at most 7
 * @param tls its files
 */
public record ClientSettings(String name, List<InetSocketAddress> keepers, TlsFiles tls) {}
