package sedgeyoke.drill.soak;

import java.nio.file.Path;
import java.util.List;
import sedgeyoke.drill.ProgramProcess;

/**
 * Options of a soak.
 *
 * @param firstSeed the seed of the first run; each further run has the next one
 * @param seeds the number of runs
 * @param seconds how long faults are injected in each run
 * @param maxBalancers the most balancers of a run; the seed draws the number
 * @param parallel runs at the same time
 * @param shim the library that makes system calls fail; null for a soak without these faults
 * @param program the command that starts the program
 * @param faults whether faults are injected at all
 * @param mistake the mistake to plant
 */
public record SoakOptions(
        long firstSeed,
        int seeds,
        int seconds,
        int maxBalancers,
        int parallel,
        Path shim,
        List<String> program,
        boolean faults,
        Mistake mistake) {
    /** A soak of the program as it is built, with faults and without planted mistakes. */
    public SoakOptions(long firstSeed, int seeds, int seconds, int maxBalancers, int parallel, Path shim) {
        this(firstSeed, seeds, seconds, maxBalancers, parallel, shim, ProgramProcess.program(), true, Mistake.NONE);
    }
}
