package sedgeyoke.consensus.codec;

import static sedgeyoke.transport.InvalidMessageException.require;

import java.util.List;
import sedgeyoke.consensus.Command;
import sedgeyoke.consensus.CommandVisitor;
import sedgeyoke.consensus.LogEntry;
import sedgeyoke.consensus.Member;
import sedgeyoke.consensus.Membership;
import sedgeyoke.transport.InvalidMessageException;
import sedgeyoke.transport.proto.LogEntryMessage;
import sedgeyoke.transport.proto.MemberMessage;
import sedgeyoke.transport.proto.MembershipMessage;
import sedgeyoke.transport.proto.WriteMessage;

/** Converts log entries, commands and members to and from protobuf messages, for the wire and the disk. */
public final class LogCodec {
    private static final int MAX_TEXT_LENGTH = 4_096;

    private LogCodec() {}

    // ---- Members -------------------------------------------------------------------------------------

    /** Encodes a member. */
    public static MemberMessage encode(Member member) {
        return MemberMessage.newBuilder()
                .setName(member.name())
                .setStorageId(member.storageId())
                .setAddress(member.address())
                .build();
    }

    /** Decodes a member. */
    public static Member decode(MemberMessage message) {
        return new Member(message.getName(), message.getStorageId(), message.getAddress());
    }

    /** Encodes a membership. */
    public static MembershipMessage encode(Membership membership) {
        MembershipMessage.Builder message = MembershipMessage.newBuilder();
        membership.voters().values().forEach(voter -> message.addVoters(encode(voter)));
        if (membership.learner() != null) {
            message.setLearner(encode(membership.learner()));
        }
        return message.build();
    }

    /** Decodes a membership. */
    public static Membership decode(MembershipMessage message) {
        List<Member> voters =
                message.getVotersList().stream().map(LogCodec::decode).toList();
        Membership membership = Membership.of(voters);
        return message.hasLearner() ? new Membership(membership.voters(), decode(message.getLearner())) : membership;
    }

    // ---- Commands and entries ------------------------------------------------------------------------

    /** Encodes a write command. */
    public static WriteMessage encode(Command.Write write) {
        return WriteMessage.newBuilder()
                .setRequestId(write.requestId())
                .setParentVersion(write.parentVersion())
                .setAuthor(write.author())
                .setReason(write.reason())
                .setCreatedAtMs(write.createdAtMillis())
                .setContent(ConfigCodec.encode(write.content()))
                .build();
    }

    /** Decodes a write command; throws if a text is too long or the request id is missing. */
    public static Command.Write decode(WriteMessage message) throws InvalidMessageException {
        require(!message.getRequestId().isEmpty() && message.getRequestId().length() <= MAX_TEXT_LENGTH, "request id");
        require(message.getAuthor().length() <= MAX_TEXT_LENGTH, "author");
        require(message.getReason().length() <= MAX_TEXT_LENGTH, "reason");
        return new Command.Write(
                message.getRequestId(),
                message.getParentVersion(),
                message.getAuthor(),
                message.getReason(),
                message.getCreatedAtMs(),
                ConfigCodec.decode(message.getContent()));
    }

    /** Encodes a log entry. */
    public static LogEntryMessage encode(LogEntry entry) {
        LogEntryMessage.Builder message =
                LogEntryMessage.newBuilder().setIndex(entry.index()).setTerm(entry.term());
        return entry.command().accept(new CommandEncoder(message)).build();
    }

    /** Sets the command in the message of a log entry, and returns that message. */
    private record CommandEncoder(LogEntryMessage.Builder message) implements CommandVisitor<LogEntryMessage.Builder> {
        @Override
        public LogEntryMessage.Builder visit(Command.NoOp noOp) {
            return message.setNoOp(true);
        }

        @Override
        public LogEntryMessage.Builder visit(Command.ChangeMembership change) {
            return message.setChangeMembership(encode(change.membership()));
        }

        @Override
        public LogEntryMessage.Builder visit(Command.Write write) {
            return message.setWrite(encode(write));
        }

        @Override
        public LogEntryMessage.Builder visit(Command.Activate activate) {
            return message.setActivate(activate.version());
        }
    }

    /** Decodes a log entry; throws if its command is invalid or of a type that only a newer release knows. */
    public static LogEntry decode(LogEntryMessage message) throws InvalidMessageException {
        Command command =
                switch (message.getCommandCase()) {
                    case CHANGE_MEMBERSHIP -> new Command.ChangeMembership(decode(message.getChangeMembership()));
                    case WRITE -> decode(message.getWrite());
                    case ACTIVATE -> new Command.Activate(message.getActivate());
                    case NO_OP -> new Command.NoOp();
                    case COMMAND_NOT_SET -> throw InvalidMessageException.unknownType(
                            "command of entry " + message.getIndex(), "written it");
                };
        return new LogEntry(message.getIndex(), message.getTerm(), command);
    }
}
