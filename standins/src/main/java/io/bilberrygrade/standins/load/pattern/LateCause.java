package io.bilberrygrade.standins.load.pattern;

/** Why a request of a class with short prompts is late. */
enum LateCause {
    /** Its first event waited for one of the engine's slots. */
    SLOT,
    /** Its first event waited for the prefill of longer prompts. */
    LONG_PREFILL,
    /** Its first event waited for the prefill of other short prompts. */
    SHORT_PREFILL,
    /** Its first event waited for its own prefill and for passes. */
    PASSES,
    /** A pause between two later events was too long. */
    GAP
}
