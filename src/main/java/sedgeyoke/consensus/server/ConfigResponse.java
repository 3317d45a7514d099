package sedgeyoke.consensus.server;

import java.util.List;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.consensus.RequestResult;

/**
 * The response of the config servers to an operator.
 *
 * @param result result of the request; null in a response to {@link ConfigClient#history}
 * @param active version in force, as the responding server knows it
 * @param pending version that is to take effect, or null
 * @param history earlier versions, oldest first; only in a response to {@link ConfigClient#history}
 */
public record ConfigResponse(
        RequestResult result, ConfigVersion active, ConfigVersion pending, List<ConfigVersion> history) {
    /** Returns the newest version. */
    public ConfigVersion newest() {
        return pending == null ? active : pending;
    }
}
