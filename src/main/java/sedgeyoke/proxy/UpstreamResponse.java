package sedgeyoke.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.function.Predicate;
import sedgeyoke.policy.LoadBalancingPolicy.LoadReport;
import sedgeyoke.policy.LoadBalancingPolicy.Outcome;
import sedgeyoke.simulator.SettingsReader;

/** What an upstream answered, whole and in order. */
record UpstreamResponse(Outcome outcome, LoadReport load, String contentType, byte[] body) {
    /** No figure of a load report is as large as that: times are in milliseconds, the others are counts or shares. */
    private static final double LARGEST = 1e7;

    static UpstreamResponse of(HttpResponse response, byte[] body, List<String> reportNames, RateLimitedLog log) {
        return new UpstreamResponse(
                outcome(response),
                loadReport(response.headers().getAll("X-Load-Report"), reportNames, log),
                response.headers().get(HttpHeaderNames.CONTENT_TYPE),
                body);
    }

    static Outcome outcome(HttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return Outcome.OK;
        }
        boolean rejected = "1".equals(response.headers().get("X-Rejected"));
        return rejected && (status == 503 || status == 504) ? Outcome.REJECTED : Outcome.ERROR;
    }

    /** A report counts as a whole or not at all: one figure that cannot be, and the others are not believed either. */
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
        if (values == null || !values.isObject() || !names.stream().allMatch(sane(values))) {
            log.line("a load report that cannot be read");
            return null;
        }
        JsonNode report = values;
        return SettingsReader.loadReport(
                name -> names.contains(name) ? report.path(name).asDouble(Double.NaN) : Double.NaN);
    }

    private static Predicate<String> sane(JsonNode values) {
        return name -> values.path(name).isMissingNode()
                || values.path(name).isNumber()
                        && values.path(name).asDouble() >= 0
                        && values.path(name).asDouble() <= LARGEST;
    }
}
