package sedgeyoke.drill.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import sedgeyoke.standin.AnswerFault;

/** Makes up to two responses of discovery in a row fail, for one or all balancers; often also drains a node. */
final class DiscoveryAnswerFaults implements Fault {
    /** After this time the previous faults have taken effect, so that no more than two responses in a row fail. */
    private static final long MIN_INTERVAL_NANOS = 1_200_000_000;

    private static final int MAX_IN_A_ROW = 2;

    private final FaultContext context;
    private final Fault drain;
    private long lastNanos;

    DiscoveryAnswerFaults(FaultContext context, Fault drain) {
        this.context = context;
        this.drain = drain;
    }

    @Override
    public void inject() throws IOException, InterruptedException {
        if (System.nanoTime() - lastNanos < MIN_INTERVAL_NANOS) {
            return;
        }
        lastNanos = System.nanoTime();
        List<AnswerFault> faults = drawFaults();
        boolean everywhere = context.random().nextBoolean();
        SoakBalancer one = context.drawBalancer();
        context.events().add("SPOIL", faults + " at " + (everywhere ? "all" : one.name()));
        for (SoakBalancer balancer : everywhere ? context.balancers() : List.of(one)) {
            balancer.failDiscoveryAnswers(faults);
        }
        if (context.random().nextBoolean()) {
            drain.inject();
        }
    }

    private List<AnswerFault> drawFaults() {
        AnswerFault[] all = AnswerFault.values();
        int count = 1 + context.random().nextInt(MAX_IN_A_ROW);
        List<AnswerFault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(all[context.random().nextInt(all.length)]);
        }
        return faults;
    }
}
