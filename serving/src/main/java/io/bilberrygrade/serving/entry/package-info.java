/** Assembles an entry daemon. */
package io.bilberrygrade.serving.entry;
