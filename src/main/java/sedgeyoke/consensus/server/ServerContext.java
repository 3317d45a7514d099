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
 * What the components of a config server share.
 *
 * @param loop event loop on which all components run
 * @param settings the config server's section of the operator's file
 * @param storageId random id of the server's storage directory
 * @param clock monotonic, in microseconds
 * @param log receives each line of the log
 * @param events delivers events to the Raft node; to be called on the loop
 */
record ServerContext(
        EventLoop loop,
        ConfigServerSettings settings,
        long storageId,
        LongSupplier clock,
        Consumer<String> log,
        Consumer<Event> events) {
    /** Sent periodically, so that an idle connection between config servers does not reach its read timeout. */
    static final Frame HEARTBEAT = Frame.newBuilder()
            .setConfigChanged(ConfigChangedMessage.newBuilder())
            .build();

    /** Decodes a message of another config server and delivers it to the Raft node. */
    void receive(String from, RaftEnvelope message) throws InvalidMessageException {
        events.accept(new Event.Received(from, message.getStorageId(), RaftMessageCodec.decode(message)));
    }
}
