package sedgeyoke.store;

/**
 * One record of a {@link SegmentLog}.
 *
 * @param index position in the log; consecutive records have consecutive indexes
 * @param payload content, not interpreted by the log
 */
public record LogRecord(long index, byte[] payload) {}
