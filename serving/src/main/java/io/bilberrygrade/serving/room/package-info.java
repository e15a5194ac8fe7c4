/** Applies what restricts the room that a deployment has for requests. */
package io.bilberrygrade.serving.room;
