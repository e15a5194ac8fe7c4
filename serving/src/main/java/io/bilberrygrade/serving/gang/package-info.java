/** Carries out gangs: grants, reservations, segments and their release in every ending. */
package io.bilberrygrade.serving.gang;
