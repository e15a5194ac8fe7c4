/** HTTP APIs of a daemon, and the client for its own HTTP calls. */
package io.bilberrygrade.serving.http;
