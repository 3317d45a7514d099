package sedgeyoke.serve;

import java.lang.reflect.Proxy;

/** Installs a handler for SIGHUP, which otherwise ends the JVM. */
public final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Runs an action on each SIGHUP, on a thread of the JVM. {@code sun.misc.Signal} is in every JDK but is not a
     * standard API, so that compilers warn about its use; it is therefore called by reflection. The JVM cannot handle a
     * signal that was ignored when it started, as under nohup. That is logged, as reloads would have no effect.
     */
    public static void run(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reloadHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getDeclaringClass() == handler) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, arguments); // methods of Object
                    });
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), reloadHandler);
            if (previousHandler == handler.getField("SIG_IGN").get(null)) {
                System.err.println("SIGHUP is ignored, as whoever started this program has it (nohup does):"
                        + " no changed configuration will be taken up");
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("cannot install a handler for SIGHUP, which will end the program: " + e);
        }
    }
}
