package sedgeyoke.drill;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses on the loopback interface. */
final class Loopback {
    private Loopback() {}

    /** The loopback address with this port. */
    static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
