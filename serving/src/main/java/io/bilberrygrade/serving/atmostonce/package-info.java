/** Runs calls that may not be repeated at most once, under keys that name their home. */
package io.bilberrygrade.serving.atmostonce;
