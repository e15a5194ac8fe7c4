package io.bilberrygrade.standins.load.control;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Addresses and published configuration parts of a fleet of the given sizes. */
record FleetLayout(String host, int daemons, int endpoints, int teams, Path folder) {
    static final int CONFIG_PORT = 22_401;
    static final int CONFIG_CONTROL_PORT = 22_451;
    static final int INSTANCES_PORT = 22_402;
    static final String MODEL = "model";
    static final String CREDENTIAL = "team-0";

    private static final int FIRST_ENDPOINT_PORT = 25_000;
    private static final int FIRST_CALLER_PORT = 23_000;
    private static final int FIRST_PEER_PORT = 24_000;
    private static final int DATA_CENTRES = 6;
    private static final int TEAMS_PER_PART = 6_000;
    private static final int MEMORY_TOKENS = 1_200_000;

    int endpointPort(int index) {
        return FIRST_ENDPOINT_PORT + index;
    }

    int callerPort(int index) {
        return FIRST_CALLER_PORT + index;
    }

    int peerPort(int index) {
        return FIRST_PEER_PORT + index;
    }

    String dataCentre(int index) {
        return "dc-" + index % DATA_CENTRES;
    }

    Path configuration() {
        return folder.resolve("configuration");
    }

    Path instances() {
        return folder.resolve("instances.yaml");
    }

    void write() throws IOException {
        Files.createDirectories(configuration());
        writePart("classes", classes(0.4));
        writePart("models", "models: [{id: " + MODEL + ", version: 1}]\n");
        writePart("endpoints", endpointsPart());
        for (int first = 0; first < Math.max(1, teams); first += TEAMS_PER_PART) {
            writePart("teams-" + first / TEAMS_PER_PART, teamsPart(first));
        }
        Files.writeString(instances(), instanceList());
    }

    /** Returns the {@code classes} part with the given share of class {@code short}. */
    static String classes(double share) {
        return String.format(
                "classes:%n- {id: short, time_to_first_token: 1500ms, share: %.2f}%n"
                        + "- {id: long, time_to_first_token: 30s, share: 0.3}%n",
                share);
    }

    private void writePart(String key, String text) throws IOException {
        Files.writeString(configuration().resolve(key + ".yaml"), text);
    }

    private String endpointsPart() {
        StringBuilder text = new StringBuilder("endpoints:\n");
        for (int i = 0; i < endpoints; i++) {
            text.append(
                    String.format(
                            "- {id: engine-%d, data_centre: %s, address: \"%s:%d\", models: [%s],"
                                    + " memory_tokens: %d, checks_fencing: true}%n",
                            i, dataCentre(i), host, endpointPort(i), MODEL, MEMORY_TOKENS));
        }
        return text.toString();
    }

    private String teamsPart(int first) {
        StringBuilder text = new StringBuilder("teams:\n");
        for (int i = first; i < Math.min(teams, first + TEAMS_PER_PART); i++) {
            String digest =
                    Hashing.sha256().hashString("team-" + i, StandardCharsets.UTF_8).toString();
            text.append(String.format("- {id: team-%d, credential_sha256: \"%s\"}%n", i, digest));
        }
        return text.toString();
    }

    private String instanceList() {
        StringBuilder text = new StringBuilder("version: 1\ninstances:\n");
        for (int i = 0; i < daemons; i++) {
            text.append(instance("entry-" + i, i, peerPort(i), "entry"));
        }
        for (int i = 0; i < endpoints; i++) {
            text.append(instance("engine-" + i, i, endpointPort(i), "endpoint"));
        }
        return text.toString();
    }

    private String instance(String id, int index, int port, String kind) {
        return String.format(
                "- {id: %s, dataCentre: %s, host: %s, port: %d, kind: %s, state: live}%n",
                id, dataCentre(index), host, port, kind);
    }
}
