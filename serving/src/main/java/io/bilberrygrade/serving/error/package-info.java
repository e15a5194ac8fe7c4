/** Checked exceptions that carry the failed step and the called peer. */
package io.bilberrygrade.serving.error;
