/** Requests that a daemon without a link to the endpoints hands over to its peers. */
package io.bilberrygrade.core.relay;
