package io.bilberrygrade.daemon.settings;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import io.bilberrygrade.core.identity.Address;
import io.bilberrygrade.core.identity.DataCentreId;
import io.bilberrygrade.core.identity.InstanceId;
import io.bilberrygrade.daemon.settings.SettingsDocument.CallersSection;
import io.bilberrygrade.serving.document.Document;
import io.bilberrygrade.serving.document.DocumentReader;
import io.bilberrygrade.serving.document.Fault;
import io.bilberrygrade.serving.settings.EntrySettings;
import io.bilberrygrade.serving.settings.OperatorCredential;
import io.bilberrygrade.serving.settings.PeerKey;
import io.bilberrygrade.serving.settings.PolicySettings;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads and validates a settings file and the secret files that it names. */
public final class SettingsReader {
    private static final int MIN_SECRET_BYTES = 16;

    private final Path mFolder;
    private final List<Fault> mFaults = new ArrayList<>();
    private final List<Fault> mMissingSecrets = new ArrayList<>();

    private SettingsReader(Path folder) {
        mFolder = folder;
    }

    /**
     * Reads the file. Relative paths in it are resolved against its folder. The exception contains
     * every fault found.
     */
    public static DaemonSettings read(Path file) throws InvalidSettingsException {
        SettingsReader reader = new SettingsReader(file.toAbsolutePath().getParent());
        Optional<DaemonSettings> settings = reader.load(file);
        boolean isValid = reader.mFaults.isEmpty() && reader.mMissingSecrets.isEmpty();
        if (settings.isEmpty() || !isValid) {
            throw new InvalidSettingsException(
                    ImmutableList.copyOf(reader.mFaults),
                    ImmutableList.copyOf(reader.mMissingSecrets));
        }
        return settings.get();
    }

    private Optional<DaemonSettings> load(Path file) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            mFaults.add(new Fault(file.toString(), 1, "", "can't be read: " + e));
            return Optional.empty();
        }
        return DocumentReader.read(file.toString(), bytes, SettingsDocument.class, mFaults::add)
                .flatMap(this::convert);
    }

    private Optional<DaemonSettings> convert(Document<SettingsDocument> document) {
        SettingsDocument d = document.value();
        Optional<byte[]> key = secret(document, "/peers/key_file", d.peers().keyFile());
        Optional<byte[]> credential =
                Optional.ofNullable(d.operators().credentialFile())
                        .flatMap(f -> secret(document, "/operators/credential_file", f));
        Optional<Address> configuration =
                address(document, "/platform/configuration", d.platform().configuration());
        Optional<Address> instances =
                address(document, "/platform/instances", d.platform().instances());
        if (key.isEmpty() || configuration.isEmpty() || instances.isEmpty()) {
            return Optional.empty();
        }
        CallersSection callers = d.callers();
        EntrySettings entry =
                new EntrySettings(
                        new InstanceId(d.instance().id()),
                        new DataCentreId(d.instance().dataCentre()),
                        d.instance().host(),
                        callers.port(),
                        d.peers().port(),
                        configuration.get(),
                        instances.get(),
                        PeerKey.of(key.get()),
                        callers.maxBody(),
                        callers.maxDeadline(),
                        callers.drainTimeout(),
                        policy(d.policy()),
                        credential.map(SettingsReader::operatorCredential));
        return Optional.of(new DaemonSettings(entry, d.log().format(), d.log().level()));
    }

    private Optional<byte[]> secret(Document<?> document, String pointer, String file) {
        try {
            byte[] bytes = Files.readAllBytes(mFolder.resolve(file));
            if (bytes.length >= MIN_SECRET_BYTES) {
                return Optional.of(bytes);
            }
            mFaults.add(
                    document.fault(
                            pointer, "the file has fewer than " + MIN_SECRET_BYTES + " bytes"));
        } catch (NoSuchFileException e) {
            mMissingSecrets.add(document.fault(pointer, "no such file: " + file));
        } catch (IOException e) {
            mFaults.add(document.fault(pointer, "the file can't be read: " + e));
        }
        return Optional.empty();
    }

    private Optional<Address> address(Document<?> document, String pointer, String text) {
        try {
            return Optional.of(Address.parse(text));
        } catch (IllegalArgumentException e) {
            mFaults.add(document.fault(pointer, e.getMessage()));
            return Optional.empty();
        }
    }

    private static OperatorCredential operatorCredential(byte[] bytes) {
        return OperatorCredential.of(new String(bytes, StandardCharsets.UTF_8).trim());
    }

    private static PolicySettings policy(SettingsDocument.PolicySection section) {
        return new PolicySettings(
                section.placement(),
                section.disabled() == null
                        ? ImmutableSet.of()
                        : ImmutableSet.copyOf(section.disabled()));
    }
}
