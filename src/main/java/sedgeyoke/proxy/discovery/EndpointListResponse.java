package sedgeyoke.proxy.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.io.UncheckedIOException;
import sedgeyoke.proxy.config.BalancerConfig;
import sedgeyoke.proxy.config.EndpointList;
import sedgeyoke.proxy.config.InvalidEndpointListException;
import sedgeyoke.simulator.SettingsReader;

/** Reads the endpoint list from a response of discovery. */
final class EndpointListResponse {
    private EndpointListResponse() {}

    /** Throws if the response is not a success or its body is not a valid list; the message names the problem. */
    static EndpointList read(FullHttpResponse response, SettingsReader.InstanceSettings instanceSettings)
            throws InvalidEndpointListException {
        if (response.status().code() != HttpResponseStatus.OK.code()
                || response.decoderResult().isFailure()) {
            throw new InvalidEndpointListException("answered " + response.status());
        }
        try {
            return EndpointList.read(
                    BalancerConfig.JSON.readTree(ByteBufUtil.getBytes(response.content())), instanceSettings);
        } catch (InvalidEndpointListException e) {
            throw new InvalidEndpointListException("malformed list: " + e.getMessage());
        } catch (JsonProcessingException e) {
            throw new InvalidEndpointListException(
                    "malformed list: " + e.getMessage().lines().findFirst().orElse(""));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
