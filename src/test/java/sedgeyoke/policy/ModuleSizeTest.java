package sedgeyoke.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The limits on the policy's files: 1,200 lines that are not blank in all its files, 110 columns. */
class ModuleSizeTest {
    static String fault(List<String> lines) {
        long filled = lines.stream().filter(line -> !line.isBlank()).count();
        if (filled > 1_200) {
            return "too long: " + filled;
        }
        return lines.stream()
                .filter(line -> line.length() > 110)
                .findFirst()
                .map(line -> "too wide: " + line)
                .orElse("");
    }

    @Test
    void moduleIsWithinItsLimits() throws IOException {
        Matcher policy =
                Pattern.compile("(?m)^policy = \\[(.*)]").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(policy.find());
        List<String> lines = new ArrayList<>();
        for (String file : policy.group(1).replaceAll("[\" ]", "").split(",", -1)) {
            lines.addAll(Files.readAllLines(Path.of(file)));
        }
        assertTrue(lines.size() > 800, "the policy itself");
        assertEquals("", fault(lines));
    }

    @Test
    void theLimitsCatchAnExcess() {
        assertEquals("too long: 1201", fault(Collections.nCopies(1_201, "x")));
        assertEquals("too wide: " + "x".repeat(111), fault(List.of("x".repeat(111))));
        assertEquals("", fault(Collections.nCopies(1_200, "x".repeat(110))));
    }
}
