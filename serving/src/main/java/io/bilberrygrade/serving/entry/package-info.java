/** Puts an entry daemon together from its parts. */
package io.bilberrygrade.serving.entry;
