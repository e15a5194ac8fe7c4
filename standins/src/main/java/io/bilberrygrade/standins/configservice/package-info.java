/** Stand-in for the platform's configuration service. */
package io.bilberrygrade.standins.configservice;
