/** Decides how much of the fleet each class of work and each team may use at the moment. */
package io.bilberrygrade.core.share;
