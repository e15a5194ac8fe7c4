/** Decides how much of the fleet each class of work and each team may currently use. */
package io.bilberrygrade.core.share;
