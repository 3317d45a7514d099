package sedgeyoke.drill.soak;

import java.io.IOException;
import java.util.List;
import sedgeyoke.drill.soak.SystemFaults.Errno;
import sedgeyoke.drill.soak.SystemFaults.Field;

/** Steps the wall clock of a balancer, or makes its system calls fail or transfer fewer bytes for a while. */
final class SystemCallFault implements Fault {
    private static final int[] CLOCK_STEPS_SECONDS = {-3_600, -5, 5, 3_600, 0};
    private static final List<Errno> CONNECT_ERRORS = List.of(Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.ENOBUFS);
    private static final List<Errno> SOCKET_ERRORS = List.of(Errno.ENFILE, Errno.ENOBUFS);
    private static final List<Errno> ACCEPT_ERRORS = List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.ENOBUFS);
    private static final int CHOICES = 12;
    private static final int BYTES_PER_CHOICE = 10;
    private static final long MIN_MILLIS = 100;
    private static final long FURTHER_MILLIS = 400;

    private final FaultContext context;

    /** The kinds of fault, in the order that the seed draws from. */
    private enum Kind {
        CLOCK,
        CONNECT,
        SOCKET,
        ACCEPT,
        SHORT_TRANSFERS
    }

    SystemCallFault(FaultContext context) {
        this.context = context;
    }

    /** Draws all parameters in any case, so that a seed draws the same with and without the library. */
    @Override
    public void inject() throws IOException {
        SoakBalancer balancer = context.drawBalancer();
        Kind kind = Kind.values()[context.random().nextInt(Kind.values().length)];
        int stepSeconds = CLOCK_STEPS_SECONDS[context.random().nextInt(CLOCK_STEPS_SECONDS.length)];
        int choice = context.random().nextInt(CHOICES);
        long millis = MIN_MILLIS + context.random().nextLong(FURTHER_MILLIS);
        if (balancer.systemFaults() == null) {
            return;
        }
        switch (kind) {
            case CLOCK -> stepClock(balancer, stepSeconds);
            case CONNECT -> failCall(balancer, Field.CONNECT_ERROR, pick(CONNECT_ERRORS, choice), millis);
            case SOCKET -> failCall(balancer, Field.SOCKET_ERROR, pick(SOCKET_ERRORS, choice), millis);
            case ACCEPT -> failCall(balancer, Field.ACCEPT_ERROR, pick(ACCEPT_ERRORS, choice), millis);
            case SHORT_TRANSFERS -> shortenTransfers(balancer, choice, millis);
            default -> throw new IllegalArgumentException(kind.toString());
        }
    }

    private static Errno pick(List<Errno> errors, int choice) {
        return errors.get(choice % errors.size());
    }

    /** Steps the clock, which keeps this offset until the next step; 0 removes the offset. */
    private void stepClock(SoakBalancer balancer, int stepSeconds) throws IOException {
        context.events().add("CLOCK", balancer.name() + " wall clock " + stepSeconds + " s off");
        balancer.systemFaults().set(Field.WALL_SECONDS, stepSeconds);
    }

    private void failCall(SoakBalancer balancer, Field call, Errno error, long millis) throws IOException {
        context.events().add("CALLS", balancer.name() + " " + call + " " + error + " for " + millis + " ms");
        balancer.systemFaults().set(call, error);
        context.scheduler().schedule(millis, () -> balancer.systemFaults().set(call, 0));
    }

    private void shortenTransfers(SoakBalancer balancer, int choice, long millis) throws IOException {
        SystemFaults faults = balancer.systemFaults();
        context.events().add("SHORT", balancer.name() + " reads and writes for " + millis + " ms");
        faults.set(Field.MOST_BYTES, 1 + choice * BYTES_PER_CHOICE);
        faults.set(Field.INTERRUPT_EVERY, 2 + choice);
        context.scheduler().schedule(millis, () -> {
            faults.set(Field.MOST_BYTES, 0);
            faults.set(Field.INTERRUPT_EVERY, 0);
        });
    }
}
