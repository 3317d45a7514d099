package sedgeyoke.proxy.client;

/** What happens to a client's connection once a response is written. */
enum AfterResponse {
    /** The connection stays open for another request. */
    KEEP_ALIVE,
    /** Our side of the connection is closed. */
    CLOSE
}
