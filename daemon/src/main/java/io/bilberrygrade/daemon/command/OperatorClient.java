package io.bilberrygrade.daemon.command;

import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.request.Step;
import io.bilberrygrade.serving.error.CallException;
import io.bilberrygrade.serving.http.HttpAnswer;
import io.bilberrygrade.serving.http.HttpCalls;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Client of a daemon's operator API. */
final class OperatorClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private OperatorClient() {}

    static void addArguments(Subparser command) {
        command.addArgument("--at")
                .required(true)
                .metavar("IP:PORT")
                .help("address of a daemon's callers' port");
        command.addArgument("--credential-file")
                .required(true)
                .metavar("FILE")
                .help("file with the operators' credential");
        command.addArgument("--json")
                .action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
                .help("write JSON");
    }

    /**
     * Returns the answer to a call. A {@link CallException} names the step and the daemon that
     * failed.
     */
    static <T> T get(Namespace arguments, String path, Class<T> type)
            throws CallException, IOException {
        Address daemon = Address.parse(arguments.getString("at"));
        String credential =
                Files.readString(Path.of(arguments.getString("credential_file"))).trim();
        Vertx vertx = Vertx.vertx();
        try (HttpCalls calls = new HttpCalls(vertx)) {
            HttpAnswer answer =
                    calls.to(daemon, Step.OPERATOR_CALL)
                            .header("Authorization", "Bearer " + credential)
                            .send(HttpMethod.GET, path, TIMEOUT)
                            .await()
                            .atMost(TIMEOUT.multipliedBy(2));
            return answer.as(type);
        } catch (CompletionException e) {
            if (e.getCause() instanceof CallException c) {
                throw c;
            }
            throw e;
        } finally {
            vertx.closeAndAwait();
        }
    }

    /** Runs a command that calls a daemon and maps failures to exit codes. */
    static int run(Action action) {
        try {
            return action.run();
        } catch (CallException e) {
            System.err.println("bilberrygrade: " + e.getMessage());
            return ExitCodes.UNREACHABLE;
        } catch (IOException | IllegalArgumentException e) {
            System.err.println("bilberrygrade: " + e.getMessage());
            return ExitCodes.FAILED;
        }
    }

    /** Action of a command that calls a daemon. */
    interface Action {
        int run() throws CallException, IOException;
    }
}
