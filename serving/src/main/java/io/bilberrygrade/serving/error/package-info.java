/** Checked exceptions that carry the step and the peer at which they arose. */
package io.bilberrygrade.serving.error;
