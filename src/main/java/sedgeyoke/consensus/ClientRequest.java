package sedgeyoke.consensus;

/** What may be asked of the keepers, by way of any of them. */
public sealed interface ClientRequest {
    /** A new version; see {@link Command.Write}. */
    record Set(Command.Write write) implements ClientRequest {}

    /** Whatever was committed before this was asked is applied at whoever answers: a read that is never stale. */
    record Read() implements ClientRequest {}

    /** A keeper joins; it is a voter once it has caught up. */
    record AddMember(Member member) implements ClientRequest {}

    /** A keeper goes, the one with this folder: a copy that comes late must not take its successor. 0 for any. */
    record RemoveMember(String name, long storageId) implements ClientRequest {}
}
