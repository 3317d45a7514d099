package sedgeyoke.drill.soak;

import java.io.IOException;

/** A kind of fault. An implementation draws its target and parameters, and undoes the fault after a while. */
interface Fault {
    /** Injects the fault, unless too many targets are faulty already, and schedules its end. */
    void inject() throws IOException, InterruptedException;
}
