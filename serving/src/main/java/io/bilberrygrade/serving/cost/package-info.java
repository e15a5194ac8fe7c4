/** Learns the cost of requests in the request path. */
package io.bilberrygrade.serving.cost;
