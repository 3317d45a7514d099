package sedgeyoke.body;

/**
 * What is known of a response that has begun.
 *
 * @param declaredBytes the declared length of its body; negative if it declares none
 * @param receivedBytes how much of its body has arrived
 * @param elapsedMicros the time since its head arrived, in microseconds
 * @param readingPaused whether it is not being read for now, because its client takes no more
 */
public record ResponseProgress(long declaredBytes, long receivedBytes, long elapsedMicros, boolean readingPaused) {
    /** Whether the response declares its length. */
    public boolean isLengthDeclared() {
        return declaredBytes >= 0;
    }

    /** The most that is known of the length: what is declared, else what has arrived. */
    public long knownBytes() {
        return isLengthDeclared() ? declaredBytes : receivedBytes;
    }
}
