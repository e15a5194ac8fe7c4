/** Cost of requests and speed of endpoints, learned from the responses that are observed. */
package io.bilberrygrade.core.cost;
