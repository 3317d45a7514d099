package sedgeyoke.drill.soak;

/** Stops all discovery agents from responding and from learning of changes for a while. */
final class DiscoverySilence implements Fault {
    private static final long MIN_MILLIS = 300;
    private static final long FURTHER_MILLIS = 3_000;

    private final FaultContext context;

    DiscoverySilence(FaultContext context) {
        this.context = context;
    }

    @Override
    public void inject() {
        if (!context.discovery().beginSilence()) {
            return;
        }
        long millis = MIN_MILLIS + context.random().nextLong(FURTHER_MILLIS);
        context.events().add("SILENT", "discovery for " + millis + " ms");
        context.site().setDiscoverySilent(true);
        context.scheduler().schedule(millis, () -> {
            context.site().setDiscoverySilent(false);
            context.discovery().endSilence();
        });
    }
}
