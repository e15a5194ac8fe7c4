/** Forwards opaque requests to self-registered endpoints along the published routes. */
package io.bilberrygrade.serving.forward;
