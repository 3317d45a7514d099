package sedgeyoke.drill.soak;

import sedgeyoke.serve.BalancerMain;

/** Starts a balancer from the classes of the tests, with the argument that the command line would take. */
public final class ServeMain {
    private ServeMain() {}

    /** The only argument is {@code serve}. */
    public static void main(String[] args) throws InterruptedException {
        if (args.length != 1 || !args[0].equals("serve")) {
            throw new IllegalArgumentException("serve");
        }
        BalancerMain.main(new String[0]);
    }
}
