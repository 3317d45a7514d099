package sedgeyoke.proxy.client;

/** What happens to a client's connection once a response is written. */
enum AfterResponse {
    /** It stays open for another request. */
    KEEP_ALIVE,
    /** Our side of it is closed. */
    CLOSE
}
