/** Validated settings of an entry daemon. */
package io.bilberrygrade.serving.settings;
