package io.bilberrygrade.standins;

import io.bilberrygrade.standins.control.Address;
import io.bilberrygrade.standins.engine.EngineSettings;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Command-line arguments of the stand-ins. */
final class Arguments {
    static final String COMMAND = "command";

    private Arguments() {}

    static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("bilberrygrade-standins")
                        .build()
                        .defaultHelp(true)
                        .description("Runs a stand-in for an endpoint or a platform service.");
        Subparsers commands = parser.addSubparsers().dest(COMMAND).title("stand-ins");
        addEngine(add(commands, "engine", "model engine"));
        add(commands, "service", "plain service");
        add(commands, "config", "configuration service")
                .addArgument("--directory")
                .required(true)
                .help("directory whose files are the parts of version 1");
        Subparser instances = add(commands, "instances", "instance list");
        instances.addArgument("--file").required(true).help("YAML or JSON instance list");
        instances.addArgument("--lag").setDefault("1s").help("delay until changes become visible");
        add(commands, "weights", "weight store")
                .addArgument("--rate")
                .type(Integer.class)
                .setDefault(10)
                .help("maximum reads per second");
        return parser;
    }

    private static Subparser add(Subparsers commands, String name, String help) {
        Subparser command = commands.addParser(name).help(help).defaultHelp(true);
        command.addArgument("--host").setDefault("127.0.0.1");
        addNumber(command, "--port", 0);
        addNumber(command, "--control-port", 0);
        return command;
    }

    private static void addNumber(Subparser command, String name, int defaultValue) {
        command.addArgument(name).type(Integer.class).setDefault(defaultValue);
    }

    private static void addEngine(Subparser engine) {
        addNumber(engine, "--memory-tokens", 400_000);
        addNumber(engine, "--prefill-rate", 40_000);
        engine.addArgument("--decode-interval").setDefault("20ms");
        addNumber(engine, "--chunk-tokens", 4_096);
        addNumber(engine, "--slots", 32);
        addNumber(engine, "--cache-tokens", 200_000);
        addNumber(engine, "--queue-bound", 256);
        engine.addArgument("--model")
                .action(net.sourceforge.argparse4j.impl.Arguments.append())
                .required(true)
                .help("loaded model, repeatable");
        engine.addArgument("--load-lag").setDefault("200ms").help("lag of the load report");
        engine.addArgument("--load-time").setDefault("200ms").help("time to load a model");
        engine.addArgument("--check-fencing").type(Boolean.class).setDefault(true);
        engine.addArgument("--weights").help("URL of the weight store");
    }

    static Address address(Namespace args) {
        return new Address(
                args.getString("host"), args.getInt("port"), args.getInt("control_port"));
    }

    static EngineSettings engine(Namespace args) {
        List<String> models = args.getList("model");
        return new EngineSettings(
                address(args),
                args.getInt("memory_tokens"),
                args.getInt("prefill_rate"),
                Durations.parse(args.getString("decode_interval")),
                args.getInt("chunk_tokens"),
                args.getInt("slots"),
                args.getInt("cache_tokens"),
                args.getInt("queue_bound"),
                List.copyOf(models),
                Durations.parse(args.getString("load_lag")),
                Durations.parse(args.getString("load_time")),
                args.getBoolean("check_fencing"),
                Optional.ofNullable(args.getString("weights")).map(URI::create));
    }
}
