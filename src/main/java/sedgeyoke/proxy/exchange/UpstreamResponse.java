package sedgeyoke.proxy.exchange;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.function.Predicate;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.proxy.common.RateLimitedLog;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.simulator.SettingsReader;

/**
 * Holds a complete and valid response of an upstream.
 *
 * @param outcome the outcome that its status indicates
 * @param load its load report; null if it has no valid one
 * @param contentType null if it has none
 * @param body the complete body
 */
public record UpstreamResponse(Outcome outcome, LoadReport load, String contentType, byte[] body) {
    /** Larger values in a load report are invalid: times are in milliseconds, the others are counts or shares. */
    private static final double MAX_REPORT_VALUE = 1e7;

    /** Creates a response from a head and a body; an invalid load report is logged and ignored. */
    public static UpstreamResponse of(
            HttpResponse response, byte[] body, List<String> reportNames, RateLimitedLog log) {
        return new UpstreamResponse(
                AttemptOutcomes.ofResponse(response),
                loadReport(response.headers().getAll("X-Load-Report"), reportNames, log),
                response.headers().get(HttpHeaderNames.CONTENT_TYPE),
                body);
    }

    /** One invalid value makes the whole report invalid. */
    private static LoadReport loadReport(List<String> headers, List<String> names, RateLimitedLog log) {
        if (headers.isEmpty()) {
            return null;
        }
        JsonNode values;
        try {
            values = headers.size() == 1 ? BalancerConfig.JSON.readTree(headers.get(0)) : null;
        } catch (JsonProcessingException e) {
            values = null;
        }
        if (values == null || !values.isObject() || !names.stream().allMatch(isValidIn(values))) {
            log.line("load report ignored: malformed");
            return null;
        }
        JsonNode report = values;
        return SettingsReader.loadReport(
                name -> names.contains(name) ? report.path(name).asDouble(Double.NaN) : Double.NaN);
    }

    private static Predicate<String> isValidIn(JsonNode values) {
        return name -> values.path(name).isMissingNode()
                || (values.path(name).isNumber()
                        && values.path(name).asDouble() >= 0
                        && values.path(name).asDouble() <= MAX_REPORT_VALUE);
    }
}
