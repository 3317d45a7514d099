package sedgeyoke.settings;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import sedgeyoke.proxy.config.IpAddress;

/** Parses and checks the addresses in an operator's file. */
final class Addresses {
    private static final String EXPECTED_FORMAT = "must be an address as ip:port, such as 127.0.0.1:7500";

    private Addresses() {}

    /** Returns what is invalid in an address; null if it is valid. */
    static String problem(String text) {
        return IpAddress.parse(text) == null ? EXPECTED_FORMAT + ", not '" + text + "'" : null;
    }

    /** Returns what is invalid in a list of at most {@code max} addresses; null if it is valid. */
    static String problem(Object list, int max) {
        List<?> texts = (List<?>) list;
        if (texts.size() > max) {
            return "must contain at most " + max + " addresses, not " + texts.size();
        }
        if (texts.stream().distinct().count() < texts.size()) {
            return "contains an address twice";
        }
        return texts.stream()
                .map(text -> problem((String) text))
                .filter(problem -> problem != null)
                .findFirst()
                .orElse(null);
    }

    /** Returns the addresses by name from a valid list of {@code name=address} items. */
    static Map<String, InetSocketAddress> parseNamed(List<?> list) {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        list.forEach(item -> {
            String[] parts = ((String) item).split("=", 2);
            addresses.put(parts[0], IpAddress.parse(parts[1]));
        });
        return addresses;
    }

    /** Returns what is invalid in a list of at most {@code max} {@code name=address} items; null if it is valid. */
    static String namedProblem(Object list, int max) {
        List<?> texts = (List<?>) list;
        for (Object item : texts) {
            String[] parts = ((String) item).split("=", 2);
            if (parts.length < 2 || !parts[0].matches("[A-Za-z0-9._-]{1,64}")) {
                return "must contain items of the form name=ip:port, not '" + item + "'";
            } else if (problem(parts[1]) != null) {
                return parts[0] + " " + problem(parts[1]);
            }
        }
        if (texts.size() > max) {
            return "must contain at most " + max + " items, not " + texts.size();
        }
        return parseNamed(texts).size() < texts.size()
                        || parseNamed(texts).values().stream().distinct().count() < texts.size()
                ? "contains a name or an address twice"
                : null;
    }
}
