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
 * A parsed and validated experiment file.
 *
 * @param name file name without extension
 * @param title one-line title
 * @param theory whether the experiment compares the simulation with queueing theory, which needs no scenario
 * @param digest SHA-256 of the file's text, used to reject stored runs of a different file
 * @param points all points of the sweep on all days; a single one if the file has neither
 * @param comparison which variants are compared
 * @param searchSpace what a worst-case search may vary; empty if the file has no {@code [hunt]} table
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
     * The variants on one day and at one point of the sweep, which share that point's scenario settings.
     *
     * @param day name of the day; empty if the file has no days
     * @param at the swept keys and their values at this point, in the file's order
     * @param variants by name, in the file's order
     */
    public record Point(String day, Map<String, Double> at, Map<String, Scenario> variants) {
        /** Returns a label such as {@code forwarders=30}; empty if the file has neither a sweep nor days. */
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
     * @param base the variant to which all others are compared
     * @param with the variant that is expected to be better than {@code base}, or empty
     * @param failing the variant whose service is expected to stay close to that of {@code with}, or empty
     */
    public record Comparison(String base, String with, String failing) {
        /** A comparison that names no variants. */
        static final Comparison NONE = new Comparison("", "", "");

        boolean hasWith() {
            return !with.isEmpty();
        }

        boolean hasFailing() {
            return !failing.isEmpty();
        }
    }

    /** Reads and validates a file; the exception carries all problems in it. */
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

    /** Parses a file's content; {@code file} provides the experiment's name and the file name in problems. */
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
