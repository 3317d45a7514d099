package sedgeyoke.cli;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Replaces deprecated names of commands and options with their current names before the command line is parsed, so that
 * scripts with the deprecated names keep working. One warning line lists all replacements.
 */
final class DeprecatedNames {
    private static final List<RenamedCommand> COMMANDS = List.of(
            new RenamedCommand(List.of("keep"), List.of("config-server")),
            new RenamedCommand(List.of("keepers"), List.of("config-servers")),
            new RenamedCommand(List.of("hunt"), List.of("search")),
            new RenamedCommand(List.of("drill", "agree"), List.of("drill", "consensus")));

    private static final List<RenamedOption> OPTIONS = List.of(
            new RenamedOption(List.of("config-server"), "--found", "--bootstrap"),
            new RenamedOption(List.of("drill", "consensus"), "--keepers", "--config-servers"));

    private DeprecatedNames() {}

    /** A renamed command; both names are full paths of subcommands. */
    private record RenamedCommand(List<String> deprecated, List<String> current) {}

    /** A renamed option of one command. */
    private record RenamedOption(List<String> command, String deprecated, String current) {}

    /** Returns the arguments with current names only; prints one warning line to {@code err} if any were deprecated. */
    static String[] replace(String[] arguments, PrintWriter err) {
        List<String> replaced = new ArrayList<>(List.of(arguments));
        List<String> warnings = new ArrayList<>();
        COMMANDS.forEach(command -> replaceCommand(command, replaced, warnings));
        OPTIONS.forEach(option -> replaceOption(option, replaced, warnings));
        if (!warnings.isEmpty()) {
            err.println("warning: " + warnings.stream().collect(Collectors.joining("; ")));
            err.flush();
        }
        return replaced.toArray(new String[0]);
    }

    private static void replaceCommand(RenamedCommand command, List<String> arguments, List<String> warnings) {
        if (!startsWith(arguments, command.deprecated())) {
            return;
        }
        arguments.subList(0, command.deprecated().size()).clear();
        arguments.addAll(0, command.current());
        warnings.add(warning(String.join(" ", command.deprecated()), String.join(" ", command.current())));
    }

    private static void replaceOption(RenamedOption option, List<String> arguments, List<String> warnings) {
        if (!startsWith(arguments, option.command())) {
            return;
        }
        boolean found = false;
        for (int i = option.command().size(); i < arguments.size(); i++) {
            String argument = arguments.get(i);
            if (argument.equals(option.deprecated()) || argument.startsWith(option.deprecated() + "=")) {
                arguments.set(
                        i,
                        option.current()
                                + argument.substring(option.deprecated().length()));
                found = true;
            }
        }
        if (found) {
            warnings.add(warning(option.deprecated(), option.current()));
        }
    }

    private static boolean startsWith(List<String> arguments, List<String> command) {
        return arguments.size() >= command.size()
                && arguments.subList(0, command.size()).equals(command);
    }

    private static String warning(String deprecated, String current) {
        return "'" + deprecated + "' is deprecated, use '" + current + "'";
    }
}
