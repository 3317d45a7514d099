package sedgeyoke.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import sedgeyoke.lease.ClockDrift;

class ConfigStateMachineTest {
    private static final SafetyRules RULES = new SafetyRules(RaftTiming.defaults(1_500_000, new ClockDrift(0)));

    private final ConfigStateMachine machine = new ConfigStateMachine(Membership.of(List.of()), RULES);

    private static Command.Write write(String requestId, long parentVersion) {
        return new Command.Write(requestId, parentVersion, "author", "reason", 0, ConfigDocument.EMPTY);
    }

    @Test
    void writeCreatesPendingVersion() {
        assertEquals(new RequestResult(RequestResult.Kind.DONE, 1, ""), machine.apply(write("r1", 0)));
        assertEquals(1, machine.pending().number());
        assertEquals(ConfigVersion.NONE, machine.active());
    }

    @Test
    void activationReplacesActiveVersion() {
        machine.apply(write("r1", 0));
        machine.apply(new Command.Activate(1));
        assertEquals(1, machine.active().number());
        assertNull(machine.pending());
        assertEquals(List.of(ConfigVersion.NONE), machine.history());
    }

    @Test
    void repeatedActivationChangesNothing() {
        machine.apply(write("r1", 0));
        machine.apply(new Command.Activate(1));
        machine.apply(new Command.Activate(1));
        assertEquals(1, machine.history().size());
    }

    @Test
    void repeatedRequestReturnsItsFirstResult() {
        RequestResult first = machine.apply(write("r1", 0));
        machine.apply(new Command.Activate(1));
        assertEquals(first, machine.apply(write("r1", 0)));
        assertNull(machine.pending());
    }

    @Test
    void writeFromAnOldVersionIsAConflict() {
        machine.apply(write("r1", 0));
        machine.apply(new Command.Activate(1));
        assertEquals(RequestResult.Kind.CONFLICT, machine.apply(write("r2", 0)).kind());
    }

    @Test
    void writeDuringActivationIsBusyAndMayBeRetried() {
        machine.apply(write("r1", 0));
        assertEquals(RequestResult.Kind.BUSY, machine.apply(write("r2", 1)).kind());
        machine.apply(new Command.Activate(1));
        assertEquals(RequestResult.Kind.DONE, machine.apply(write("r2", 1)).kind());
    }

    @Test
    void oldestResultIsForgottenWhenTheBoundIsReached() {
        machine.apply(write("first", 9));
        for (int i = 0; i < ConfigStateMachine.MAX_REQUESTS; i++) {
            machine.apply(write("r" + i, 9));
        }
        assertNull(machine.resultOf("first"));
        assertEquals(RequestResult.Kind.CONFLICT, machine.resultOf("r0").kind());
    }

    @Test
    void restoredStateEqualsTheSnapshot() {
        machine.apply(write("r1", 0));
        ConfigStateMachine restored = new ConfigStateMachine(machine.snapshotState(), RULES);
        assertEquals(machine.snapshotState(), restored.snapshotState());
    }
}
