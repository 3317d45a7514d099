package sedgeyoke.cli;

import picocli.CommandLine.Option;

/** The option {@code --seed} of the drills. */
final class SeedOption {
    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "default: ${DEFAULT-VALUE}")
    private long seed;

    long seed() {
        return seed;
    }
}
