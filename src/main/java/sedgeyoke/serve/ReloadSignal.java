package sedgeyoke.serve;

import java.lang.reflect.Proxy;

/** Handles SIGHUP, which would otherwise end the JVM. */
public final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs an action on each SIGHUP, on a thread of the JVM. The class for that is in every JDK but not in the
     * standard, so that compilers warn of its name; it is looked up by reflection instead. The JVM cannot handle a
     * signal that was ignored when it started, as under nohup: that is logged, as a reload would fail without a trace.
     */
    public static void run(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ourHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getDeclaringClass() == handler) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, arguments); // methods of Object
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ourHandler);
            if (previousHandler == handler.getField("SIG_IGN").get(null)) {
                System.err.println("SIGHUP is ignored, as whoever started this program has it (nohup does):"
                        + " no changed configuration will be taken up");
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("SIGHUP cannot be handled here and will end the program: " + e);
        }
    }
}
