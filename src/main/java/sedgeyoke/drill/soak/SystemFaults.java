package sedgeyoke.drill.soak;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Controls the operating system faults of one process: a stepped wall clock and failing system calls. A small library
 * that is preloaded into the process ({@code src/test/native/fault_shim.c}) reads the faults from a control file, which
 * this class changes while the process runs.
 */
public final class SystemFaults {
    private static final int FIELD_BYTES = 4;

    private final Path library;
    private final Path control;

    /** The fields of the control file, in their order. */
    public enum Field {
        /** Seconds that are added to the wall clock. */
        WALL_SECONDS,
        /** The error number of {@code connect}. */
        CONNECT_ERROR,
        /** The error number of {@code socket}. */
        SOCKET_ERROR,
        /** The error number of {@code accept}. */
        ACCEPT_ERROR,
        /** One wait in this many is interrupted. */
        INTERRUPT_EVERY,
        /** The most bytes that one read or write on a socket transfers. */
        MOST_BYTES,
        /** The error number of writes and syncs on regular files. */
        FILE_ERROR
    }

    /** Error numbers of Linux. */
    public enum Errno {
        EIO(5),
        ENFILE(23),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    /** Creates the file {@code control}, from which {@code library} reads faults, without any faults. */
    public SystemFaults(Path library, Path control) throws IOException {
        this.library = library.toAbsolutePath();
        this.control = Files.write(control, new byte[FIELD_BYTES * Field.values().length]);
    }

    /** The environment variables that the process needs. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_SHIM", control.toString());
    }

    /** Sets a field, also while the process runs; 0 ends its fault. */
    public void set(Field field, int value) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(FIELD_BYTES).order(ByteOrder.nativeOrder());
        try (FileChannel channel = FileChannel.open(control, StandardOpenOption.WRITE)) {
            channel.write(bytes.putInt(value).flip(), (long) FIELD_BYTES * field.ordinal());
        }
    }

    /** Makes the call of a field fail with an error. */
    public void set(Field field, Errno error) throws IOException {
        set(field, error.number);
    }
}
