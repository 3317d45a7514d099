package review2;

import java.nio.charset.StandardCharsets;

/** Writes the requests of clients as the protocol page has them. */
public final class Requests {
    private Requests() {}

    /** A request of the class {@code trade-confirm}, which must never run twice. */
    public static byte[] tradeConfirm(String id, int budgetMillis, String body) {
        return ("POST /api?obj=" + id + " HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: " + id
                        + "\r\nX-Call-Class: trade-confirm\r\nX-Caller: acme\r\nX-Budget-Ms: " + budgetMillis
                        + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
