package org.micabarrow.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.internal.DefaultConsole;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The one binary's entrance. */
public final class Main {

    private static final String NAME = "micabarrow";

    private Main() {}

    /**
     * Runs a subcommand.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExitCode code = run(new Console(System.out, System.err), arguments);
        System.out.flush();
        System.exit(code.number());
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("entry", new RunCommand.Entry());
        commands.put("agent", new RunCommand.Agent());
        commands.put("hosted-entry", new HostedCommand.Entry());
        commands.put("hosted-agent", new HostedCommand.Agent());
        commands.put("rehearse", new RehearseCommand());
        commands.put("plan", new OperatorCommand.PlanCommand());
        commands.put("confirm", new OperatorCommand.ConfirmCommand());
        commands.put("status", new StatusCommand());
        commands.put("explain", new OperatorCommand.ExplainCommand());
        commands.put("config", new ConfigCommand());
        commands.put("token", new TokenCommand());
        commands.put("standin", new StandinCommand());
        commands.put("version", new VersionCommand());
        return commands;
    }

    /**
     * The command that is called by its name alone, else all: reading the parameters of every command slows a start down.
     */
    private static Map<String, Command> asked(Map<String, Command> commands, String... arguments) {
        return arguments.length > 0 && commands.containsKey(arguments[0])
                ? Map.of(arguments[0], commands.get(arguments[0]))
                : commands;
    }

    /**
     * Runs a subcommand.
     *
     * @param console where it writes
     * @param arguments the command line
     * @return the exit code
     */
    public static ExitCode run(Console console, String... arguments) {
        Map<String, Command> commands = asked(commands(), arguments);
        // The platform calls a process by its name alone, which needs no parser.
        if (arguments.length == 1 && commands.get(arguments[0]) instanceof HostedCommand hosted) {
            return runGuarded(console, hosted);
        }
        JCommander parser = JCommander.newBuilder()
                .programName(NAME)
                .console(new DefaultConsole(console.out()))
                .build();
        commands.forEach(parser::addCommand);
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            boolean helpAsked = List.of(arguments).contains("--help");
            if (!helpAsked) {
                console.err().println(NAME + ": " + e.getMessage() + "; see " + NAME + " COMMAND --help");
                return ExitCode.USAGE;
            }
        }
        String name = parser.getParsedCommand();
        if (name == null) {
            parser.usage();
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Command command = commands.get(name);
        if (command.helpWanted()) {
            parser.getUsageFormatter().usage(name);
            console.out().println("  Example: " + command.example());
            console.out().println("  Exit codes: 0 done; 1 refused; 2 wrong call, settings or intent; 3 unreachable");
            return ExitCode.OK;
        }
        return runGuarded(console, command);
    }

    private static ExitCode runGuarded(Console console, Command command) {
        try {
            return command.run(console);
        } catch (ParameterException e) {
            console.err().println(NAME + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (Exception e) {
            console.err().println(NAME + ": " + e);
            return ExitCode.REFUSED;
        }
    }
}
