package sedgeyoke.consensus.server;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import sedgeyoke.consensus.Event;
import sedgeyoke.consensus.codec.RaftMessageCodec;
import sedgeyoke.settings.ConfigServerSettings;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.ConfigChangedMessage;
import sedgeyoke.transport.proto.Frame;
import sedgeyoke.transport.proto.RaftEnvelope;

/**
 * What the parts of a config server share.
 *
 * @param loop event loop on which all parts run
 * @param settings section of the operator's file
 * @param storageId number of the server's storage directory
 * @param clock monotonic, in microseconds
 * @param log takes log lines
 * @param events takes events for the Raft node; to be called on the loop
 */
record ServerContext(
        EventLoop loop,
        ConfigServerSettings settings,
        long storageId,
        LongSupplier clock,
        Consumer<String> log,
        Consumer<Event> events) {
    /** Keeps a connection between config servers from running into its read timeout. */
    static final Frame HEARTBEAT = Frame.newBuilder()
            .setConfigChanged(ConfigChangedMessage.newBuilder())
            .build();

    /** Passes a message of another config server to the Raft node. */
    void receive(String from, RaftEnvelope message) throws InvalidMessageException {
        events.accept(new Event.Received(from, message.getStorageId(), RaftMessageCodec.decode(message)));
    }
}
