/** The sub-commands of the command line. */
package io.bilberrygrade.daemon.command;
