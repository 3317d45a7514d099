package sedgeyoke.proxy.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses {@code ip:port}. Host names are not accepted: the platform has no DNS, and a look-up would block. */
public final class IpAddress {
    private IpAddress() {}

    /** Returns the address, or null if the text does not have that form. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
            return ip == null
                    ? null
                    : new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException | UnknownHostException e) {
            return null;
        }
    }
}
