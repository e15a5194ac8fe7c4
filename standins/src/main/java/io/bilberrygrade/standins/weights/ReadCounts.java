package io.bilberrygrade.standins.weights;

/** Numbers of reads that the store has served and refused. */
public record ReadCounts(long served, long refused) {}
