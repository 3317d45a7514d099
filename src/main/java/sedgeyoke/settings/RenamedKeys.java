package sedgeyoke.settings;

import java.util.Map;

/** Deprecated names of sections and keys of the operator's file. They are accepted with a warning. */
final class RenamedKeys {
    private static final Map<String, String> SECTIONS = Map.of("keeper", "config_server", "agreed", "config");
    /** Current paths by deprecated paths; the section in each path is the current one. */
    private static final Map<String, String> KEYS = Map.of(
            "config_server.keepers", "config_server.servers",
            "config_server.forces_may_lie", "config_server.fsync_may_be_lost",
            "config_server.most_followers", "config_server.max_subscribers",
            "config.keepers", "config.servers",
            "operator.keepers", "operator.servers");

    private RenamedKeys() {}

    /** Returns the current path of a section or key; the same path if it is not deprecated. */
    static String currentPath(String path) {
        int dot = path.indexOf('.');
        String section = dot < 0 ? path : path.substring(0, dot);
        String current = SECTIONS.getOrDefault(section, section) + (dot < 0 ? "" : path.substring(dot));
        return KEYS.getOrDefault(current, current);
    }
}
