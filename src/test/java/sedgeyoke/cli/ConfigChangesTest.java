package sedgeyoke.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import sedgeyoke.consensus.ConfigDocument;

class ConfigChangesTest {
    private static ConfigDocument apply(String... changes) throws ConfigChanges.InvalidChangeException {
        return ConfigChanges.apply(ConfigDocument.EMPTY, List.of(changes));
    }

    @Test
    void aKeyIsSetToANumber() throws Exception {
        assertEquals(Map.of("retries", 0.2), apply("retries=0.1", "retries=0.2").numbers());
    }

    @Test
    void anEntryOfATableIsSet() throws Exception {
        assertEquals(
                Map.of("quota", Map.of("a", 1.0, "b", 2.0)),
                apply("quota.a=1", "quota.b=2").tables());
    }

    @Test
    void namesAreAddedAndRemoved() throws Exception {
        ConfigDocument changed = apply("upstreams_out+=n1", "upstreams_out+=n2", "upstreams_out-=n1");
        assertEquals(Map.of("upstreams_out", Map.of("n2", "")), changed.names());
    }

    @Test
    void anEmptyValueUnsetsTheKey() throws Exception {
        assertEquals(ConfigDocument.EMPTY, apply("retries=0.2", "retries="));
    }

    @ParameterizedTest
    @ValueSource(strings = {"retries", "=0.2", "retries=much", "quota.a=much"})
    void anythingElseIsRejected(String change) {
        assertThrows(ConfigChanges.InvalidChangeException.class, () -> apply(change));
    }
}
