/** JSON forms and header names of the protocols to endpoints and to the platform. */
package io.bilberrygrade.serving.wire;
