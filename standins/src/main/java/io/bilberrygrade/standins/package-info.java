/** Command line of the stand-ins for endpoints and platform services. */
package io.bilberrygrade.standins;
