package io.bilberrygrade.core.config;

import io.bilberrygrade.core.identity.TeamId;

/** Team with the SHA-256 digest of its credential in lower-case hexadecimal. */
public record Team(TeamId id, String credentialDigest) {}
