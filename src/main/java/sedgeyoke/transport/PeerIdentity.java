package sedgeyoke.transport;

import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.Set;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;

/**
 * A peer's identity, taken from the subject of its certificate and independent of its address.
 *
 * @param name the common name
 * @param role the role that the organisational unit stands for
 */
record PeerIdentity(String name, PeerRole role) {
    private static final String COMMON_NAME = "CN";
    private static final String ORGANIZATIONAL_UNIT = "OU";

    /** Reads the identity of a session's peer; empty unless its certificate states one of the allowed roles. */
    static Optional<PeerIdentity> of(SSLSession session, Set<PeerRole> allowedRoles) {
        LdapName subject;
        try {
            Certificate[] chain = session.getPeerCertificates();
            subject = new LdapName(
                    ((X509Certificate) chain[0]).getSubjectX500Principal().getName());
        } catch (SSLPeerUnverifiedException | InvalidNameException e) {
            return Optional.empty();
        }
        String name = null;
        PeerRole role = null;
        for (Rdn attribute : subject.getRdns()) {
            if (attribute.getType().equalsIgnoreCase(COMMON_NAME)) {
                name = String.valueOf(attribute.getValue());
            } else if (attribute.getType().equalsIgnoreCase(ORGANIZATIONAL_UNIT)) {
                for (PeerRole allowed : allowedRoles) {
                    role = allowed.organizationalUnit().equals(attribute.getValue()) ? allowed : role;
                }
            }
        }
        return role == null || name == null ? Optional.empty() : Optional.of(new PeerIdentity(name, role));
    }
}
