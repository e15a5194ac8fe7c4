/** Stand-in for the platform's instance list. */
package io.bilberrygrade.standins.instances;
