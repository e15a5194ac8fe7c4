/** The protocol between entry daemons: frames, handshake, calls and replies. */
package io.bilberrygrade.serving.peer;
