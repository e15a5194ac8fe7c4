package io.bilberrygrade.daemon.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import io.bilberrygrade.daemon.settings.InvalidSettingsException;
import io.bilberrygrade.daemon.settings.SettingsDocument;
import io.bilberrygrade.daemon.settings.SettingsReader;
import io.bilberrygrade.serving.document.Fault;
import io.bilberrygrade.serving.document.KeyReference;
import io.bilberrygrade.serving.platform.ConfigParts;
import io.bilberrygrade.serving.platform.DeploymentDocuments;
import io.bilberrygrade.serving.platform.DeploymentParser;
import io.bilberrygrade.serving.platform.InvalidConfigException;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Validates settings files and published configurations, and describes their keys. */
public final class SettingsCommand {
    private static final String EXTENSION = ".yaml";
    private static final ImmutableMap<String, Class<?>> PARTS =
            ImmutableMap.of(
                    "classes", DeploymentDocuments.Classes.class,
                    "teams", DeploymentDocuments.Teams.class,
                    "models", DeploymentDocuments.Models.class,
                    "endpoints", DeploymentDocuments.Endpoints.class);

    private SettingsCommand() {}

    static void register(Subparsers commands) {
        Subparsers subcommands =
                commands.addParser("settings")
                        .help("check or describe settings")
                        .addSubparsers()
                        .metavar("COMMAND");
        Subparser check =
                subcommands
                        .addParser("check")
                        .help("check a settings file or a folder with a published configuration");
        check.addArgument("path").metavar("FILE").help("settings file or folder");
        check.addArgument("--json").action(Arguments.storeTrue()).help("write JSON");
        check.setDefault(Command.HANDLER, (Command) SettingsCommand::check);
        Subparser describe = subcommands.addParser("describe").help("write the table of all keys");
        describe.addArgument("what").choices("settings", "configuration");
        describe.setDefault(Command.HANDLER, (Command) SettingsCommand::describe);
    }

    private static int describe(Namespace arguments) {
        System.out.print(keyTables(arguments.getString("what")));
        return ExitCodes.OK;
    }

    /** Returns the tables of {@code docs/SETTINGS.md} or {@code docs/CONFIGURATION.md}. */
    public static String keyTables(String what) {
        if (what.equals("settings")) {
            return KeyReference.table(SettingsDocument.class);
        }
        StringBuilder text = new StringBuilder();
        PARTS.forEach(
                (part, type) ->
                        text.append("### Part `")
                                .append(part)
                                .append("`\n\n")
                                .append(KeyReference.table(type))
                                .append('\n'));
        return text.toString();
    }

    private static int check(Namespace arguments) {
        Path path = Path.of(arguments.getString("path"));
        CheckDocument result =
                Files.isDirectory(path) ? checkConfiguration(path) : checkSettings(path);
        if (arguments.getBoolean("json")) {
            System.out.println(Output.json(result));
        } else {
            print(result);
        }
        if (!result.faults().isEmpty()) {
            return ExitCodes.INVALID;
        }
        return result.missingSecrets().isEmpty() ? ExitCodes.OK : ExitCodes.SECRETS_MISSING;
    }

    private static void print(CheckDocument result) {
        result.faults().forEach(System.err::println);
        result.missingSecrets().forEach(System.err::println);
        if (result.faults().isEmpty()) {
            int missing = result.missingSecrets().size();
            String secrets = missing == 0 ? "" : ", " + missing + " secrets are missing";
            System.out.println(result.path() + ": ok" + secrets);
        }
    }

    private static CheckDocument checkConfiguration(Path folder) {
        return new CheckDocument(
                folder.toString(), configurationFaults(folder), ImmutableList.of());
    }

    private static CheckDocument checkSettings(Path file) {
        try {
            SettingsReader.read(file);
            return new CheckDocument(file.toString(), ImmutableList.of(), ImmutableList.of());
        } catch (InvalidSettingsException e) {
            return new CheckDocument(file.toString(), e.faults(), e.missingSecrets());
        }
    }

    private static ImmutableList<Fault> configurationFaults(Path folder) {
        try {
            DeploymentParser.parse(new ConfigParts(1, parts(folder)));
            return ImmutableList.of();
        } catch (InvalidConfigException e) {
            return e.faults().stream()
                    .map(f -> withFilePath(folder, f))
                    .collect(ImmutableList.toImmutableList());
        } catch (IOException e) {
            return ImmutableList.of(new Fault(folder.toString(), 1, "", "can't be read: " + e));
        }
    }

    private static ImmutableMap<String, Buffer> parts(Path folder) throws IOException {
        ImmutableMap.Builder<String, Buffer> parts = ImmutableMap.builder();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.filter(f -> f.toString().endsWith(EXTENSION)).toList()) {
                String name = file.getFileName().toString();
                parts.put(
                        name.substring(0, name.length() - EXTENSION.length()),
                        Buffer.buffer(Files.readAllBytes(file)));
            }
        }
        return parts.buildOrThrow();
    }

    private static Fault withFilePath(Path folder, Fault fault) {
        String file = folder.resolve(fault.document() + EXTENSION).toString();
        return new Fault(file, fault.line(), fault.key(), fault.message());
    }

    private record CheckDocument(
            String path, ImmutableList<Fault> faults, ImmutableList<Fault> missingSecrets) {}
}
