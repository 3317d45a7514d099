package sedgeyoke.experiment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import sedgeyoke.settings.ConfigProblem;
import sedgeyoke.simulation.Scenario;

/**
 * The content of an experiment file.
 *
 * @param name of the file, without its extension
 * @param title in a line
 * @param theory whether it is the comparison with queueing theory, which has no scenario
 * @param digest SHA-256 of the file's text, so that runs of different files are not mixed
 * @param points all points of the sweep on all days; a single one where the file has neither
 * @param comparison which variants are compared
 * @param searchSpace what a worst-case search may vary; empty where the file has no {@code [hunt]}
 */
public record ExperimentFile(
        String name,
        String title,
        boolean theory,
        String digest,
        List<Point> points,
        Comparison comparison,
        Optional<SearchSpace> searchSpace) {
    private static final long MAX_FILE_BYTES = 1 << 20;

    /**
     * The variants on one day and at one point of a sweep, which have the same scenario.
     *
     * @param day name of the day; empty where the file has no days
     * @param at the swept keys and their values at this point, in the file's order
     * @param variants by name, in the file's order
     */
    public record Point(String day, Map<String, Double> at, Map<String, Scenario> variants) {
        /** A label such as {@code forwarders=30}; empty where nothing is swept and there are no days. */
        public String label() {
            List<String> parts = new ArrayList<>();
            if (!day.isEmpty()) {
                parts.add(day);
            }
            at.forEach((key, value) -> parts.add(key + "=" + plainNumber(value)));
            return String.join(" ", parts);
        }

        private static String plainNumber(double value) {
            return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
        }
    }

    /**
     * Which variants are compared.
     *
     * @param base the variant that all others are compared with
     * @param with the variant that is expected to be better; empty for none
     * @param failing the variant whose service is expected to stay near that of {@code with}; empty for none
     */
    public record Comparison(String base, String with, String failing) {
        /** Without any variant. */
        static final Comparison NONE = new Comparison("", "", "");

        boolean hasWith() {
            return !with.isEmpty();
        }

        boolean hasFailing() {
            return !failing.isEmpty();
        }
    }

    /** Reads a file; throws with all problems in it. */
    public static ExperimentFile load(Path file) throws InvalidExperimentException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw unreadable(file, "is larger than " + MAX_FILE_BYTES + " bytes");
            }
            return parse(file, Files.readString(file));
        } catch (IOException e) {
            throw unreadable(file, "cannot be read: " + e);
        }
    }

    private static InvalidExperimentException unreadable(Path file, String message) {
        return new InvalidExperimentException(List.of(new ConfigProblem(file.toString(), 0, "", message)));
    }

    /** Parses a text as if it were the content of a file. */
    static ExperimentFile parse(Path file, String text) throws InvalidExperimentException {
        List<ConfigProblem> problems = new ArrayList<>();
        TomlParseResult toml = Toml.parse(text);
        toml.errors()
                .forEach(error -> problems.add(
                        new ConfigProblem(file.toString(), error.position().line(), "", error.getMessage())));
        throwIfAny(problems);
        CheckedTable root = new CheckedTable(file, "", toml, 1, problems);
        ExperimentFile experiment = new ExperimentParser(root, problems).parse(nameOf(file), digest(text));
        throwIfAny(problems);
        return experiment;
    }

    private static void throwIfAny(List<ConfigProblem> problems) throws InvalidExperimentException {
        if (!problems.isEmpty()) {
            throw new InvalidExperimentException(problems);
        }
    }

    private static String nameOf(Path file) {
        return file.getFileName().toString().replaceAll("\\.toml$", "");
    }

    private static String digest(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has SHA-256
        }
    }
}
