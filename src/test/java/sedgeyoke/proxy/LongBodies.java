package sedgeyoke.proxy;

import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Random;
import sedgeyoke.body.BodyLimits;

/** Helpers for tests of long bodies on sockets. */
final class LongBodies {
    static final int MB = 1 << 20;
    static final BodyLimits LIMITS = new BodyLimits(
            true, 64 * 1024, 8L * MB, 1_000, 1_000_000, 30_000_000, 5_000_000, 1L << 40, 0, 0, 5_000_000);

    static final String HEAD_OF_BODY_UNTIL_CLOSE = "HTTP/1.1 200 x\r\nConnection: close\r\n\r\n";

    private LongBodies() {}

    /** Random bytes, always the same for one length. */
    static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    /** The head of an upload with this header field for its length. */
    static String upload(String id, String cls, String framing) {
        return "POST /api?obj=o HTTP/1.1\r\nHost: x\r\nX-Call-Id: " + id + "\r\nX-Call-Class: " + cls
                + "\r\nX-Budget-Ms: 5000\r\n" + (cls.equals("update") ? "Idempotency-Key: k\r\n" : "") + framing
                + "\r\n\r\n";
    }

    /** A balancer with {@link #LIMITS} in front of one upstream. */
    static Loopback serving(ScriptedServer upstream) throws Exception {
        return Loopback.setup().upstream("u", upstream.address()).bodies(LIMITS).start();
    }

    /** A digest to compare bodies of megabytes by, as a failed comparison of the bodies would print all of them. */
    static String digest(byte[] bytes) throws Exception {
        return Arrays.toString(MessageDigest.getInstance("SHA-256").digest(bytes));
    }
}
