package sedgeyoke.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.UncheckedBooleanSupplier;
import java.util.function.IntUnaryOperator;

/** Limits the size of each read to the memory that was reserved for it before. Event loop only. */
final class ReservedReadAllocator implements RecvByteBufAllocator {
    private final RecvByteBufAllocator sizes;
    private final IntUnaryOperator reservation;

    /**
     * Creates an allocator for one channel.
     *
     * @param sizes proposes the size of each read; its handles must be {@link ExtendedHandle}s
     * @param reservation reserves memory for the proposed number of bytes and returns how many may be read
     */
    ReservedReadAllocator(RecvByteBufAllocator sizes, IntUnaryOperator reservation) {
        this.sizes = sizes;
        this.reservation = reservation;
    }

    @Override
    @SuppressWarnings("deprecation") // the interface declares the deprecated type
    public Handle newHandle() {
        return new ReservingHandle((ExtendedHandle) sizes.newHandle());
    }

    private final class ReservingHandle extends DelegatingHandle implements ExtendedHandle {
        private final ExtendedHandle proposed;

        private ReservingHandle(ExtendedHandle proposed) {
            super(proposed);
            this.proposed = proposed;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator buffers) {
            return buffers.ioBuffer(reservation.applyAsInt(guess()));
        }

        @Override
        public boolean continueReading(UncheckedBooleanSupplier maybeMoreData) {
            return proposed.continueReading(maybeMoreData);
        }
    }
}
