package sedgeyoke.drill.soak;

import java.io.IOException;

/** One kind of fault. What it draws and what it affects is its own matter; it undoes itself after a while. */
interface Fault {
    /** Injects the fault unless too much is faulty already, and schedules its end. */
    void inject() throws IOException, InterruptedException;
}
