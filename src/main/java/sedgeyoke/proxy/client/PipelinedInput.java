package sedgeyoke.proxy.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import sedgeyoke.body.BodyBudget;
import sedgeyoke.body.BodyReservation;

/**
 * Holds what a client has sent behind the request in flight. It must be read, because a close by the client is only
 * noticed after it, but it is held as the bytes that were received: decoded, short requests would take more than ten
 * times as much memory. Each read is counted against the {@link BodyBudget} before it is held. Beyond the limits the
 * rest is discarded, requests that were received completely are answered, and the connection is closed. Event loop
 * only; times are microseconds of the policy's clock.
 */
final class PipelinedInput {
    /** Room for one more request of the largest size. */
    private static final int MAX_BYTES = 80 * 1024;
    /** The capacity for reads of a few bytes. */
    private static final int MIN_CAPACITY_BYTES = 256;
    /** The memory of a chunk besides its bytes. */
    private static final int CHUNK_OVERHEAD_BYTES = 128;
    /** Small reads within this time are joined; the requests in them count as received with the first one. */
    private static final long MAX_JOINED_MICROS = 10_000;

    private final BodyReservation memory;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private int bytes;
    /** The memory of what was taken last. */
    private int takenMemoryBytes;

    private boolean overflowed;
    /** The number of requests that were received completely; known only after an overflow. */
    private int completeRequests;

    /** Bytes that were received at about the same time. */
    private record Chunk(ByteBuf bytes, long receivedMicros, int memoryBytes) {
        private boolean hasRoomFor(int length, long nowMicros) {
            return bytes.writableBytes() >= length && nowMicros - receivedMicros <= MAX_JOINED_MICROS;
        }
    }

    PipelinedInput(BodyBudget budget) {
        this.memory = budget.newReservation();
    }

    /** Holds a copy of the received bytes, or discards them if there are too many; the caller keeps ownership. */
    void add(ByteBuf received, long nowMicros) {
        if (overflowed || !received.isReadable()) {
            return;
        }
        int length = received.readableBytes();
        Chunk last = chunks.peekLast();
        if (last != null && last.hasRoomFor(length, nowMicros)) {
            last.bytes().writeBytes(received, received.readerIndex(), length);
            bytes += length;
            return;
        }
        int capacity = Math.max(length, MIN_CAPACITY_BYTES);
        int memoryBytes = capacity + CHUNK_OVERHEAD_BYTES;
        if (bytes + length > MAX_BYTES || !memory.tryGrowToSpare(memory.bytes() + memoryBytes)) {
            overflow();
            return;
        }
        ByteBuf copy = Unpooled.buffer(capacity);
        copy.writeBytes(received, received.readerIndex(), length);
        chunks.add(new Chunk(copy, nowMicros, memoryBytes));
        bytes += length;
    }

    private void overflow() {
        overflowed = true;
        List<ByteBuf> held = chunks.stream().map(Chunk::bytes).toList();
        completeRequests = CompleteRequests.countIn(held);
    }

    /** Whether input was discarded; from then on all further input must be. */
    boolean overflowed() {
        return overflowed;
    }

    boolean isEmpty() {
        return chunks.isEmpty();
    }

    /** When the bytes were received that {@link #takeFirst} returns; there must be some. */
    long firstReceivedMicros() {
        return chunks.element().receivedMicros();
    }

    /** Removes the first bytes, which must exist. The caller owns the buffer. */
    ByteBuf takeFirst() {
        Chunk first = chunks.remove();
        bytes -= first.bytes().readableBytes();
        memory.shrinkTo(memory.bytes() - first.memoryBytes());
        takenMemoryBytes = first.memoryBytes();
        return first.bytes();
    }

    /** Puts back the end of what was taken last, which still uses all of its buffer; the caller keeps ownership. */
    void putBack(ByteBuf rest, long receivedMicros) {
        int memoryBytes = Math.max(takenMemoryBytes, rest.capacity() + CHUNK_OVERHEAD_BYTES);
        Chunk first = new Chunk(rest.retainedSlice(), receivedMicros, memoryBytes);
        chunks.addFirst(first);
        bytes += rest.readableBytes();
        memory.growTo(memory.bytes() + first.memoryBytes());
    }

    /** Records that a request that was held has been read to its end. */
    void requestRead() {
        completeRequests--;
    }

    /** Whether another request can be read completely: not if the rest of it was discarded. */
    boolean mayContinue() {
        return !overflowed || completeRequests > 0;
    }

    /** Discards everything that is held. */
    void discard() {
        chunks.forEach(chunk -> chunk.bytes().release());
        chunks.clear();
        bytes = 0;
        memory.release();
    }
}
