/** What instances know and do about the room that the deployment has for requests. */
package io.bilberrygrade.serving.room;
