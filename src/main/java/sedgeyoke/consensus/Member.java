package sedgeyoke.consensus;

/**
 * A keeper of the tier: a name and the folder that it keeps. One that comes back under its name with another folder is
 * another keeper, which knows nothing of what the first has promised.
 *
 * @param name its name, as in its certificate
 * @param storageId the number of its folder, drawn when that was made; 0 while it is not known
 * @param address where it listens, host and port
 */
public record Member(String name, long storageId, String address) {}
