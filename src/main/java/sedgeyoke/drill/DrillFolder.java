package sedgeyoke.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * The temporary folder of a drill, with the files and logs of its processes. It is deleted at the end unless the system
 * property {@code sedgeyoke.keep} is true.
 */
final class DrillFolder implements AutoCloseable {
    private static final String KEEP_PROPERTY = "sedgeyoke.keep";

    private final Path path;

    /** Creates a folder whose name begins with {@code drill-NAME}. */
    DrillFolder(String name) throws IOException {
        this.path = Files.createTempDirectory("drill-" + name);
    }

    Path path() {
        return path;
    }

    @Override
    public void close() throws IOException {
        if (Boolean.getBoolean(KEEP_PROPERTY)) {
            return;
        }
        try (Stream<Path> files = Files.walk(path)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }
}
