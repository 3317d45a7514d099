package sedgeyoke.proxy.common;

import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyReservation;

/**
 * Counts the header fields of the messages that one connection receives, one message after the other, against the
 * {@link BodyBudget}. A field of four bytes takes some two hundred once it is decoded. Event loop only.
 */
public final class HeaderMemory {
    /** The memory of a short field: its entry, its name and its value. The limit on the head bounds longer ones. */
    private static final int FIELD_BYTES = 192;

    private final BodyReservation memory;
    private int fields;

    /** Creates the counter of one connection. */
    public HeaderMemory(BodyBudget budget) {
        this.memory = budget.newReservation();
    }

    /** Begins with the next message. */
    public void begin() {
        fields = 0;
    }

    /** Counts a field before it is decoded; false if there is no memory for it. */
    public boolean tryAddField() {
        fields++;
        return memory.tryGrowToSpare((long) fields * FIELD_BYTES);
    }

    /** Releases what the last message took. */
    public void release() {
        memory.release();
    }
}
