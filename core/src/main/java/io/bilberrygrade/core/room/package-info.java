/** The room that a deployment has for requests, and what restricts it. */
package io.bilberrygrade.core.room;
