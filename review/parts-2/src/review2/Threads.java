package review2;

/** Starts daemon threads. */
public final class Threads {
    private Threads() {}

    /** Starts a thread that does not keep the process alive. */
    public static Thread start(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits; an interruption ends the wait. */
    public static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
