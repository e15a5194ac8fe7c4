/** Finds peers that take over the requests of a daemon without a link to the endpoints. */
package io.bilberrygrade.serving.relay;
