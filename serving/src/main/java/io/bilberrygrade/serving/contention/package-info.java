/**
 * Feeds the decisions on contention and on placement under swinging demand with what this instance
 * knows, and logs and counts them.
 */
package io.bilberrygrade.serving.contention;
