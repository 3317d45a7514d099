package sedgeyoke.proxy.client;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.regex.Pattern;
import sedgeyoke.policy.LoadBalancingPolicy.Effect;
import sedgeyoke.policy.LoadBalancingPolicy.Request;
import sedgeyoke.proxy.common.TimeUnits;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.core.ProxyCore;
import sedgeyoke.proxy.exchange.RejectionReason;

/** Converts the head of an HTTP request into a request of the policy. Event loop only. */
final class RequestParser {
    private static final String OPEN_ID = "X-Call-Id (a request with it is open)";
    private static final String REPEATED_ID = "X-Call-Id (a request with it may have run)";

    private static final String API_PATH = "/api";
    private static final String HEALTH_PATH = "/_health";
    private static final long MAX_BUDGET_MILLIS = 3_600_000;
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,12}");
    private static final List<CharSequence> FORWARDED_HEADERS = List.of(
            HttpHeaderNames.HOST,
            "X-Call-Id",
            "Idempotency-Key",
            "X-Call-Class",
            "X-Caller",
            HttpHeaderNames.CONTENT_TYPE);

    private final BalancerConfig config;
    private final ProxyCore core;

    RequestParser(BalancerConfig config, ProxyCore core) {
        this.config = config;
        this.core = core;
    }

    /**
     * Parses the head of a request.
     *
     * @return the request, or null for a health check
     * @throws InvalidRequestException if the request cannot be served, with the text of the response
     */
    Request parse(HttpRequest head) throws InvalidRequestException {
        QueryStringDecoder uri = new QueryStringDecoder(head.uri());
        if (uri.rawPath().equals(HEALTH_PATH)) {
            return null;
        } else if (!uri.rawPath().equals(API_PATH)) {
            throw new InvalidRequestException(RejectionReason.UNKNOWN_PATH, "not found");
        } else if (!head.method().equals(HttpMethod.GET) && !head.method().equals(HttpMethod.POST)) {
            throw new InvalidRequestException(RejectionReason.UNSUPPORTED_METHOD, "GET or POST");
        }
        try {
            return parse(head, uri);
        } catch (IllegalArgumentException e) { // invalid percent-encoding in the query
            throw new InvalidRequestException(RejectionReason.INVALID_QUERY, String.valueOf(e.getMessage()));
        }
    }

    private Request parse(HttpRequest head, QueryStringDecoder uri) throws InvalidRequestException {
        HttpHeaders headers = head.headers();
        String id = headers.get("X-Call-Id");
        require(id != null && !id.isBlank() && headers.getAll("X-Call-Id").size() == 1, "X-Call-Id");
        requireNew(id);
        int classIndex = config.instanceSettings().classNames().indexOf(headers.get("X-Call-Class"));
        require(classIndex >= 0, "X-Call-Class");
        long budgetMillis = number(headers.get("X-Budget-Ms"));
        require(budgetMillis > 0 && budgetMillis <= MAX_BUDGET_MILLIS, "X-Budget-Ms");
        Effect effect =
                config.instanceSettings().settings().classes().get(classIndex).effect();
        // Without a key upstreams cannot deduplicate, and a retry could execute the request twice.
        require(effect != Effect.IDEMPOTENT_WITH_KEY || headers.contains("Idempotency-Key"), "Idempotency-Key");
        int tenant = config.instanceSettings().tenantNames().isEmpty()
                ? 0
                : config.instanceSettings().tenantNames().indexOf(headers.get("X-Caller"));
        List<String> keys = uri.parameters().getOrDefault("obj", List.of());
        return new Request(
                id,
                classIndex,
                tenant,
                keys.isEmpty() ? null : keys.get(0),
                Math.max(0, number(headers.get("X-Call-Cost"))),
                budgetMillis * TimeUnits.MICROS_PER_MILLI,
                !head.method().equals(HttpMethod.GET),
                "1".equals(headers.get("X-Again")));
    }

    /**
     * Checks that no request with this id is open or may have run.
     *
     * @throws InvalidRequestException if there is one, with the text of the response
     */
    void requireNew(String id) throws InvalidRequestException {
        if (core.knows(id)) {
            throw invalidField(RejectionReason.DUPLICATE_ID, OPEN_ID);
        } else if (core.mayHaveRun(id)) {
            throw invalidField(RejectionReason.DUPLICATE_ID, REPEATED_ID);
        }
    }

    /** Whether a head is a health check; call only with heads that {@link #parse} has accepted. */
    static boolean isHealthCheck(HttpRequest head) {
        return !head.uri().startsWith(API_PATH);
    }

    /** The headers to forward to an upstream, without the time budget. */
    static HttpHeaders forwardedHeaders(HttpHeaders headers) {
        HttpHeaders forwarded = new DefaultHttpHeaders();
        for (CharSequence name : FORWARDED_HEADERS) {
            String value = headers.get(name);
            if (value != null) {
                forwarded.set(name, value);
            }
        }
        return forwarded;
    }

    private static void require(boolean condition, String field) throws InvalidRequestException {
        if (!condition) {
            throw invalidField(RejectionReason.INVALID_HEADER, field);
        }
    }

    private static InvalidRequestException invalidField(RejectionReason reason, String field) {
        return new InvalidRequestException(reason, "missing or malformed: " + field);
    }

    /** Parses a non-negative integer; returns -1 for anything else. */
    private static long number(String text) {
        return text != null && NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
    }
}
