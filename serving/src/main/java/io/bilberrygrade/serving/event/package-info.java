/** Numbered log events and their output. */
package io.bilberrygrade.serving.event;
