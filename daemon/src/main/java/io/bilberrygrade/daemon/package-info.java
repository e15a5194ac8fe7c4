/** The entry daemon as a program. */
package io.bilberrygrade.daemon;
