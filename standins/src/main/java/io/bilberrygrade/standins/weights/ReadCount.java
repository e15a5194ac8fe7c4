package io.bilberrygrade.standins.weights;

/** Numbers of reads that the store has served and refused. */
public record ReadCount(long served, long refused) {}
