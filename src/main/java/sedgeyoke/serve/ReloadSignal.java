package sedgeyoke.serve;

import java.lang.reflect.Proxy;

/** SIGHUP, which ends a JVM that does not handle it. */
public final class ReloadSignal {
    private ReloadSignal() {}

    /**
     * Guards against the end that SIGHUP is to a JVM. The class that takes signals is in every JDK but in no
     * standard, so compilers warn of its name; it is looked up instead. Signals come on threads of the JVM's. A JVM
     * leaves a signal alone that was ignored when it began, as under nohup: that is said, for else a changed
     * configuration is never taken up, and nothing tells why.
     */
    public static void run(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object ours = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        if (method.getDeclaringClass() == handler) {
                            action.run();
                            return null;
                        }
                        return method.invoke(action, arguments); // equals and the like, if anyone asks
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
            if (before == handler.getField("SIG_IGN").get(null)) {
                System.err.println("SIGHUP is ignored, as whoever started this program has it (nohup does):"
                        + " no changed configuration will be taken up");
            }
        } catch (ReflectiveOperationException e) {
            System.err.println("SIGHUP cannot be handled here and will end the program: " + e);
        }
    }
}
