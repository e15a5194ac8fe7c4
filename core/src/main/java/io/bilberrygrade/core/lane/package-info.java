/** Keeps short work from waiting behind long work: lanes, engine priorities and confinement. */
package io.bilberrygrade.core.lane;
