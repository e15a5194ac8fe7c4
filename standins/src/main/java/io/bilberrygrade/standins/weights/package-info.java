/** Stand-in for the platform's weight store. */
package io.bilberrygrade.standins.weights;
