/** Combines what the settings and the exchange tell about the deployment. */
package io.bilberrygrade.serving.room;
