package sedgeyoke.startup;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.function.LongSupplier;
import sedgeyoke.settings.InvalidOperatorFileException;
import sedgeyoke.settings.OperatorFile;

/** Startup steps that planners and config servers share. */
public final class ServerStartup {
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MICRO = 1_000;

    /** Reads one section of an operator's file. */
    public interface Section<T> {
        /** Returns the settings of the section. */
        T read(OperatorFile file) throws InvalidOperatorFileException;
    }

    /** Binds the socket of a server. */
    public interface Listener {
        /** Starts to listen and returns the bound address. */
        InetSocketAddress listen() throws IOException;
    }

    private ServerStartup() {}

    /**
     * Loads the settings of one section of an operator's file.
     *
     * @param operatorFile path of the file; null if neither an option nor the environment names one
     */
    public static <T> T load(Path operatorFile, Section<T> section) throws StartupException {
        if (operatorFile == null) {
            throw new StartupException("no operator's file: --config or SEDGEYOKE_OPERATOR must name one");
        }
        try {
            return section.read(OperatorFile.load(operatorFile));
        } catch (InvalidOperatorFileException e) {
            throw new StartupException(e.getMessage());
        }
    }

    /** Throws unless a section is enabled; {@code key} is the key that enables it. */
    public static void requireEnabled(boolean enabled, Path operatorFile, String key) throws StartupException {
        if (!enabled) {
            throw new StartupException(operatorFile + ": " + key + " is not true");
        }
    }

    /** Returns an event loop with a thread of its own. */
    public static EventLoop newEventLoop() {
        return new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Returns a random number that distinguishes this process from earlier ones of the same name; never 0. */
    public static long newIncarnation() {
        return new SecureRandom().nextLong() | 1;
    }

    /** Returns a monotonic clock in microseconds that starts at 0. */
    public static LongSupplier clockSinceStart() {
        return monotonicClock(0);
    }

    /** Returns a monotonic clock in microseconds that starts at the current Unix time. */
    public static LongSupplier clockSinceEpoch() {
        return monotonicClock(System.currentTimeMillis() * MICROS_PER_MILLI);
    }

    private static LongSupplier monotonicClock(long startMicros) {
        long startNanos = System.nanoTime();
        return () -> startMicros + (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
    }

    /** Starts a server, and logs the address on which it listens. */
    public static void listen(String server, InetSocketAddress address, Listener listener) throws StartupException {
        InetSocketAddress bound;
        try {
            bound = listener.listen();
        } catch (IOException e) {
            throw new StartupException(e.getMessage());
        } catch (RuntimeException e) { // Netty throws the BindException without declaring it
            throw new StartupException("cannot listen on " + address + ": " + e.getMessage());
        }
        System.err.println(server + " listens on " + bound);
    }
}
