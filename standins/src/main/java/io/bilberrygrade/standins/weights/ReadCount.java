package io.bilberrygrade.standins.weights;

/** Reads that the store has served and refused. */
public record ReadCount(long served, long refused) {}
