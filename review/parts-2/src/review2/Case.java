package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Runs one case: gives it its record, its temporary folder and the balancers that it starts, and ends the process with
 * 10 if the rule was broken, 0 if it held and 2 if the case could not run. All balancers are ended before.
 */
public final class Case {
    /** Exit code: the rule held. */
    public static final int HELD = 0;
    /** Exit code: the rule was broken; not 1, with which a virtual machine ends that fails. */
    public static final int BROKEN = 10;
    /** Exit code: the case could not run. */
    public static final int COULD_NOT_RUN = 2;

    private static final long LIMIT_MILLIS = 115_000;

    private final Path root;
    private final Path temporary;
    private final Record record;
    private final boolean trouble;
    private final List<Balancer> balancers = new ArrayList<>();

    /** What a case does; returns one of the exit codes. */
    public interface Body {
        /** Plays the case. */
        int play(Case running) throws IOException, InterruptedException;
    }

    private Case(Path root, Path folder) throws IOException {
        this.root = root;
        this.record = new Record(folder);
        this.trouble = !"0".equals(System.getenv("TROUBLE"));
        this.temporary = Files.createTempDirectory("case");
    }

    /** Plays a case; {@code args} are the root of the repository and the folder of the case. */
    public static void main(String[] args, Body body) {
        int code = COULD_NOT_RUN;
        Case running = null;
        try {
            running = new Case(Path.of(args[0]), Path.of(args[1]));
            Case ending = running;
            Runtime.getRuntime().addShutdownHook(new Thread(ending::end));
            Threads.start(ending::endLate);
            running.record.line(running.trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            code = body.play(running);
            running.record.line("result: " + (code == HELD ? "the rule held" : code == BROKEN ? "BROKEN" : "not run"));
        } catch (IOException | RuntimeException | InterruptedException | Error e) {
            if (running != null) {
                running.record.line("could not run: " + e);
            }
            System.err.println("could not run: " + e);
        }
        System.exit(code);
    }

    private void endLate() {
        Threads.sleep(LIMIT_MILLIS);
        record.line("could not run: not done in time");
        System.exit(COULD_NOT_RUN);
    }

    private synchronized void end() {
        balancers.forEach(Balancer::close);
        record.flush();
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            record.line("temporary files are left: " + e);
        }
    }

    /** Whether the disruption is to be played. */
    public boolean trouble() {
        return trouble;
    }

    /** The record of the case. */
    public Record record() {
        return record;
    }

    /** Starts a balancer and waits until it is healthy. */
    public Balancer start(int port, String configuration) throws IOException, InterruptedException {
        Balancer balancer;
        synchronized (this) {
            balancer = new Balancer(root, Files.createTempDirectory(temporary, "balancer"), configuration);
            balancers.add(balancer);
        }
        balancer.start(port, Map.of());
        record.line("balancer started, process " + balancer.process().pid());
        return balancer;
    }
}
