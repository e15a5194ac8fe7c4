/** Reads the settings file of a daemon. */
package io.bilberrygrade.daemon.settings;
