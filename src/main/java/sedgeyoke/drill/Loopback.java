package sedgeyoke.drill;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses on the loopback interface. */
final class Loopback {
    private Loopback() {}

    /** A port of loopback. */
    static InetSocketAddress address(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }
}
