package sedgeyoke.consensus.server;

import sedgeyoke.consensus.ConfigSubscriber;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.simulation.SeededNetwork;

/** A balancer that subscribes to the config. */
final class SimulatedBalancer extends SeededNetwork.NetworkProcess {
    private final ConsensusSimulation simulation;
    final String name;
    ConfigSubscriber subscriber;
    private int connectedTo;
    private long nextRequestAt;
    private long lastResponseAt;
    private ConfigVersion lastActive = ConfigVersion.NONE;

    SimulatedBalancer(ConsensusSimulation simulation, String name) {
        simulation.super(ConsensusSimulation.DRIFT_PPM);
        this.simulation = simulation;
        this.name = name;
        start();
    }

    @Override
    protected void start() {
        subscriber = new ConfigSubscriber(name, simulation.nextIncarnation(), simulation.rules, lastActive);
        nextRequestAt = clock();
    }

    @Override
    protected void handle(Object body) {
        SimulationMessages.LeaseResponseMessage message = (SimulationMessages.LeaseResponseMessage) body;
        lastResponseAt = clock();
        long before = subscriber.active().number();
        if (subscriber.handle(clock(), message.response(), message.active(), message.pending())) {
            nextRequestAt = clock();
        }
        if (subscriber.active().number() < before) {
            simulation.fail(
                    "%s went back from version %d to %d",
                    name, before, subscriber.active().number());
        }
        lastActive = subscriber.active();
    }

    @Override
    protected void step() {
        if (clock() >= nextRequestAt) {
            nextRequestAt = clock() + 300_000;
            if (clock() - lastResponseAt > 700_000) {
                connectedTo = simulation.random().nextInt(simulation.replicas.size());
            }
            simulation.sendMessage(
                    number,
                    simulation.replicas.get(connectedTo).number,
                    new SimulationMessages.LeaseRequestMessage(number, subscriber.leaseRequest(clock())));
        }
    }

    ConfigSubscriber.EffectiveConfig effectiveConfig() {
        return subscriber.effectiveConfig(clock());
    }
}
