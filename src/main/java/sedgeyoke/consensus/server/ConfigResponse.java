package sedgeyoke.consensus.server;

import java.util.List;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RequestResult;

/**
 * The response of the config servers to an operator.
 *
 * @param result result of the request; null in a response to {@link ConfigClient#history}
 * @param active active version, as the responding server knows it
 * @param pending version that is to be activated; null if there is none
 * @param history formerly active versions, oldest first; empty except in a response to {@link ConfigClient#history}
 */
public record ConfigResponse(
        RequestResult result, ConfigVersion active, ConfigVersion pending, List<ConfigVersion> history) {
    /** Returns the pending version if there is one, otherwise the active one. */
    public ConfigVersion newest() {
        return pending == null ? active : pending;
    }
}
