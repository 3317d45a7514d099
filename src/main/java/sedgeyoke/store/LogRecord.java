package sedgeyoke.store;

/**
 * One record of a {@link SegmentLog}.
 *
 * @param index position in the log, one higher than that of the previous record
 * @param payload content, not interpreted by the log
 */
public record LogRecord(long index, byte[] payload) {}
